/// The event loop of a process, built on libwebsockets: sockets, timers and signals.
#pragma once

#include "utils/steadytime.h"

#include <deque>
#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <vector>

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

    /// Calls `action` once, from the loop, after `delay`.
    void after(Duration delay, std::function<void()> action);

    /// Calls `action` every `interval` for as long as the loop runs.
    void every(Duration interval, std::function<void()> action);

    /// Calls `action` from the loop soon after SIGTERM or SIGINT.
    void onTerminationSignal(std::function<void()> action);

    /// Calls `action` from the loop soon after SIGHUP.
    void onReloadSignal(std::function<void()> action);

    /// Runs until stop() is called or libwebsockets fails.
    void run();

    /// Waits for events and handles them, then runs the posted actions. Returns false when libwebsockets failed.
    bool runOnce();

    void stop() { this->running = false; }

    /// Ends the current or next wait for events. libwebsockets runs timers before it waits, so a timer callback that
    /// posts an action or stops the loop has to call this.
    void wake() { lws_cancel_service(this->lwsContext); }

    lws_context* context() const { return this->lwsContext; }

private:
    struct Timer;
    static void timerFired(lws_sorted_usec_list_t* entry);
    void schedule(Duration delay, Duration interval, std::function<void()> action);
    void removeTimer(Timer* timer);

    lws_context* lwsContext = nullptr;
    bool running = true;
    std::vector<std::unique_ptr<Timer>> timers;
    std::deque<std::function<void()>> posted;
    std::function<void()> terminationAction;
    std::function<void()> reloadAction;
};

} // namespace WisteriaHill::Adapters
