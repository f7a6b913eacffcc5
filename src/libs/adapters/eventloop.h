/// The event loop of a process, built on libwebsockets: sockets, timers and signals.
#pragma once

#include "utils/steadytime.h"

#include <deque>
#include <exception>
#include <functional>
#include <libwebsockets.h>
#include <map>
#include <utility>

namespace WisteriaHill::Adapters {

using Utils::Duration;

/// Runs callbacks of sockets and timers on the thread that calls run(). A process has one event loop. Thread safety:
/// none.
class EventLoop {
public:
    /// Throws std::runtime_error when libwebsockets cannot create its context.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Calls `action` once, from the loop, after the current callback has returned.
    void post(std::function<void()> action) { this->posted.push_back(std::move(action)); }

    /// Identifies a timer that has not fired yet.
    using TimerId = std::pair<Utils::SteadyTime, std::uint64_t>;

    /// Calls `action` once, from the loop, after `delay` less at most 1 ms. The cost grows with the logarithm of the
    /// number of timers.
    TimerId after(Duration delay, std::function<void()> action);

    /// Cancels a timer. Does nothing when it has fired.
    void cancel(const TimerId& timer) { this->timers.erase(timer); }

    /// Calls `action` every `interval` for as long as the loop runs.
    void every(Duration interval, std::function<void()> action);

    /// Calls `action` from the loop soon after SIGTERM or SIGINT.
    void onTerminationSignal(std::function<void()> action);

    /// Calls `action` from the loop soon after SIGHUP.
    void onReloadSignal(std::function<void()> action);

    /// `handler` is called with an exception that an action or a handler of received messages has thrown. Without a
    /// handler such an exception leaves run().
    void onError(std::function<void(const std::exception&)> handler) { this->errorHandler = std::move(handler); }

    /// Calls `action` and passes an exception that it throws to the handler of onError(). Callbacks from libwebsockets
    /// use this, because an exception must not pass through its functions.
    void guarded(const std::function<void()>& action);

    /// Runs until stop() is called or libwebsockets fails.
    void run();

    /// Waits for events and handles them, then runs the timers that are due and the posted actions. Does not wait when
    /// actions are posted already. Returns false when libwebsockets failed.
    bool runOnce();

    /// Ends run() after the current callback. run() may be called again.
    void stop() { this->running = false; }

    lws_context* context() const { return this->lwsContext; }

private:
    /// libwebsockets keeps its timers in a sorted list, so all timers of the loop share one of them.
    struct WakeUp {
        lws_sorted_usec_list_t entry {}; // must be the first member: wakeUpFired() casts its address to WakeUp
        EventLoop* loop = nullptr;
        Utils::SteadyTime at = Utils::SteadyTime::max();
    };

    static void wakeUpFired(lws_sorted_usec_list_t* entry);
    void runDueTimers();
    void runPosted();
    void scheduleWakeUp();

    lws_context* lwsContext = nullptr;
    bool running = true;
    WakeUp wakeUp;
    std::map<TimerId, std::function<void()>> timers;
    std::uint64_t lastTimer = 0;
    std::deque<std::function<void()>> posted;
    std::function<void()> terminationAction;
    std::function<void()> reloadAction;
    std::function<void(const std::exception&)> errorHandler;
};

} // namespace WisteriaHill::Adapters
