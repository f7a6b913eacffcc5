/// The one loop of a process: libwebsockets' context, timers and signals.
#pragma once

#include "utils/steadytime.h"

#include <deque>
#include <functional>
#include <libwebsockets.h>
#include <memory>
#include <vector>

namespace WisteriaHill::Adapters {

using Utils::Duration;

/// Runs callbacks of sockets and timers on the calling thread. Thread safety: none, but for requestStop().
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Calls `action` once, from the loop, after the callback that is running has returned.
    void post(std::function<void()> action) { this->posted.push_back(std::move(action)); }

    /// Calls `action` after `delay`, once, from the loop.
    void after(Duration delay, std::function<void()> action);

    /// Calls `action` every `interval` for as long as the loop runs.
    void every(Duration interval, std::function<void()> action);

    /// Calls `action` from the loop soon after SIGTERM or SIGINT.
    void onTerminationSignal(std::function<void()> action);

    /// Calls `action` from the loop soon after SIGHUP.
    void onReloadSignal(std::function<void()> action);

    /// Runs until stop().
    void run();

    /// Waits for one round of events and handles it. False when the loop can't go on.
    bool runOnce();

    void stop() { this->running = false; }

    /// Ends the round's wait. libwebsockets runs timers before it waits, so a timer that changes what the loop should
    /// do next calls this.
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
