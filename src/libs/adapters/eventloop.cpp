#include "adapters/eventloop.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace WisteriaHill::Adapters {

namespace {

constexpr unsigned int descriptorLimit = 4096;
constexpr unsigned int headerPoolSize = 2048;
constexpr unsigned int serviceBufferBytes = 65536;
constexpr lws_usec_t usecPerMs = 1000;

volatile std::sig_atomic_t terminationRequested = 0;
lws_context* contextToWake = nullptr;

volatile std::sig_atomic_t reloadRequested = 0;

void onSignal(int number)
{
    if (number == SIGHUP)
        reloadRequested = 1;
    else
        terminationRequested = 1;
    if (contextToWake)
        lws_cancel_service(contextToWake);
}

} // namespace

struct EventLoop::Timer {
    lws_sorted_usec_list_t entry {}; // must be the first member: timerFired() casts its address to Timer
    EventLoop* loop = nullptr;
    std::function<void()> action;
    Duration interval { 0 }; ///< zero for a single-shot timer
};

EventLoop::EventLoop()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.fd_limit_per_thread = descriptorLimit;
    info.max_http_header_pool2 = headerPoolSize;
    info.pt_serv_buf_size = serviceBufferBytes;
    this->lwsContext = lws_create_context(&info);
    if (!this->lwsContext)
        throw std::runtime_error("cannot create the libwebsockets context of the event loop");
}

EventLoop::~EventLoop()
{
    contextToWake = nullptr;
    for (const std::unique_ptr<Timer>& timer : this->timers)
        lws_sul_schedule(this->lwsContext, 0, &timer->entry, nullptr, LWS_SET_TIMER_USEC_CANCEL);
    lws_context_destroy(this->lwsContext);
}

void EventLoop::schedule(Duration delay, Duration interval, std::function<void()> action)
{
    auto timer = std::make_unique<Timer>();
    timer->loop = this;
    timer->action = std::move(action);
    timer->interval = interval;
    const lws_usec_t wait = std::max<lws_usec_t>(1, delay.count() * usecPerMs);
    lws_sul_schedule(this->lwsContext, 0, &timer->entry, timerFired, wait);
    this->timers.push_back(std::move(timer));
}

void EventLoop::after(Duration delay, std::function<void()> action)
{
    this->schedule(delay, Duration(0), std::move(action));
}

void EventLoop::every(Duration interval, std::function<void()> action)
{
    this->schedule(interval, interval, std::move(action));
}

void EventLoop::timerFired(lws_sorted_usec_list_t* entry)
{
    auto* timer = reinterpret_cast<Timer*>(entry);
    EventLoop* loop = timer->loop;
    if (timer->interval.count() > 0) {
        lws_sul_schedule(timer->loop->lwsContext, 0, &timer->entry, timerFired, timer->interval.count() * usecPerMs);
        timer->action();
        // libwebsockets waits next; the wait has to end only if actions were posted or the loop was stopped.
        if (!loop->posted.empty() || !loop->running)
            loop->wake();
        return;
    }
    loop->wake();
    const std::function<void()> action = std::move(timer->action);
    loop->removeTimer(timer);
    action();
}

void EventLoop::removeTimer(Timer* timer)
{
    const auto found
        = std::ranges::find_if(this->timers, [&](const std::unique_ptr<Timer>& owned) { return owned.get() == timer; });
    std::swap(*found, this->timers.back());
    this->timers.pop_back();
}

void EventLoop::onTerminationSignal(std::function<void()> action)
{
    this->terminationAction = std::move(action);
    contextToWake = this->lwsContext;
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::onReloadSignal(std::function<void()> action)
{
    this->reloadAction = std::move(action);
    contextToWake = this->lwsContext;
    std::signal(SIGHUP, onSignal);
}

bool EventLoop::runOnce()
{
    const bool served = lws_service(this->lwsContext, 0) >= 0;
    while (!this->posted.empty()) {
        const std::function<void()> action = std::move(this->posted.front());
        this->posted.pop_front();
        action();
    }
    return served;
}

void EventLoop::run()
{
    while (this->running && this->runOnce()) {
        if (reloadRequested != 0 && this->reloadAction) {
            reloadRequested = 0;
            this->reloadAction();
        }
        if (terminationRequested == 0 || !this->terminationAction)
            continue;
        terminationRequested = 0;
        this->terminationAction();
    }
}

} // namespace WisteriaHill::Adapters
