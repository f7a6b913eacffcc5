#include "adapters/eventloop.h"

#include "utils/steadytime.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace WisteriaHill::Adapters {

namespace {

constexpr unsigned int descriptorLimit = 4096;
constexpr unsigned int headerPoolSize = 2048;
/// Input that arrives behind a request is kept up to this size for each connection.
constexpr unsigned int serviceBufferBytes = 16384;
constexpr unsigned int headerBytes = 16384; ///< largest header of a request
constexpr Duration waitResolution { 1 };

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

EventLoop::EventLoop()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.fd_limit_per_thread = descriptorLimit;
    info.max_http_header_data2 = headerBytes;
    info.max_http_header_pool2 = headerPoolSize;
    info.pt_serv_buf_size = serviceBufferBytes;
    this->lwsContext = lws_create_context(&info);
    if (!this->lwsContext)
        throw std::runtime_error("cannot create the libwebsockets context of the event loop");
    this->wakeUp.loop = this;
}

EventLoop::~EventLoop()
{
    contextToWake = nullptr;
    lws_sul_schedule(this->lwsContext, 0, &this->wakeUp.entry, nullptr, LWS_SET_TIMER_USEC_CANCEL);
    lws_context_destroy(this->lwsContext);
}

void EventLoop::guarded(const std::function<void()>& action)
{
    if (!this->errorHandler) {
        action();
        return;
    }
    try {
        action();
    } catch (const std::exception& error) {
        this->errorHandler(error);
    }
}

EventLoop::TimerId EventLoop::after(Duration delay, std::function<void()> action)
{
    const TimerId timer { Utils::steadyNow() + delay, ++this->lastTimer };
    this->timers.emplace(timer, std::move(action));
    return timer;
}

void EventLoop::every(Duration interval, std::function<void()> action)
{
    this->after(interval, [this, interval, action = std::move(action)]() {
        this->every(interval, action); // first, so that the interval does not grow by the action's duration
        action();
    });
}

void EventLoop::scheduleWakeUp()
{
    if (this->timers.empty() || this->timers.begin()->first.first >= this->wakeUp.at)
        return;
    this->wakeUp.at = this->timers.begin()->first.first;
    const auto wait = std::chrono::ceil<std::chrono::microseconds>(this->wakeUp.at - Utils::steadyNow());
    lws_sul_schedule(this->lwsContext, 0, &this->wakeUp.entry, wakeUpFired, std::max<lws_usec_t>(1, wait.count()));
}

void EventLoop::wakeUpFired(lws_sorted_usec_list_t* entry)
{
    EventLoop* loop = reinterpret_cast<WakeUp*>(entry)->loop;
    loop->wakeUp.at = Utils::SteadyTime::max();
    lws_cancel_service(loop->lwsContext); // libwebsockets calls this before it waits; the timers run after the wait
}

void EventLoop::runDueTimers()
{
    // libwebsockets waits for whole milliseconds. Timers that are due within the next one run now, because waiting for
    // them would be polling.
    const Utils::SteadyTime due = Utils::steadyNow() + waitResolution;
    while (!this->timers.empty() && this->timers.begin()->first.first <= due) {
        const std::function<void()> action = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        this->guarded(action);
    }
}

void EventLoop::runPosted()
{
    while (!this->posted.empty()) {
        const std::function<void()> action = std::move(this->posted.front());
        this->posted.pop_front();
        this->guarded(action);
    }
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
    if (!this->posted.empty()) {
        this->runPosted();
        return true;
    }
    this->scheduleWakeUp();
    const bool served = lws_service(this->lwsContext, 0) >= 0;
    this->runDueTimers();
    this->runPosted();
    return served;
}

void EventLoop::run()
{
    this->running = true;
    while (this->running && this->runOnce()) {
        if (reloadRequested != 0 && this->reloadAction) {
            reloadRequested = 0;
            this->guarded(this->reloadAction);
        }
        if (terminationRequested == 0 || !this->terminationAction)
            continue;
        terminationRequested = 0;
        this->guarded(this->terminationAction);
    }
}

} // namespace WisteriaHill::Adapters
