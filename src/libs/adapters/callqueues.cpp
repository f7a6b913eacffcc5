#include "adapters/callqueues.h"

#include "utils/steadytime.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace WisteriaHill::Adapters {

namespace {

/// Part of its time-out that a call may wait. A call that is sent in the last moment ends without an answer, and its
/// outcome is then unknown.
constexpr int waitPercent = 75;

} // namespace

CallQueues::~CallQueues()
{
    for (const auto& [key, queue] : this->queues) {
        for (const Waiting& call : queue.waiting)
            this->loop.cancel(call.timer);
    }
}

void CallQueues::send(
    const std::string& key, Duration timeout, std::function<HttpCall()> make, HttpClient::CompletionHandler done)
{
    Queue& queue = this->queues[key];
    const Duration longestWait = timeout * waitPercent / 100;
    const Utils::SteadyTime now = Utils::steadyNow();
    const auto waiting = queue.waiting.insert(queue.waiting.end(),
        { .latestStart = now + longestWait,
            .end = now + timeout,
            .make = std::move(make),
            .done = std::move(done),
            .timer = {} });
    waiting->timer = this->loop.after(longestWait, [this, key, waiting]() { this->giveUp(key, waiting); });
    if (queue.open < this->openCalls)
        this->sendNext(key);
}

void CallQueues::sendNext(const std::string& key)
{
    Queue& queue = this->queues.at(key);
    const Utils::SteadyTime now = Utils::steadyNow();
    const auto first
        = std::ranges::find_if(queue.waiting, [now](const Waiting& call) { return call.latestStart >= now; });
    if (first == queue.waiting.end())
        return;
    Waiting next = std::move(*first);
    queue.waiting.erase(first);
    this->loop.cancel(next.timer);
    ++queue.open;
    HttpCall call = next.make();
    call.timeout = std::chrono::ceil<Duration>(next.end - now);
    this->client.send(std::move(call), [this, key, done = std::move(next.done)](HttpCallResult result) {
        Queue& answered = this->queues.at(key);
        --answered.open;
        this->sendNext(key);
        this->eraseIfEmpty(key);
        done(std::move(result));
    });
}

void CallQueues::giveUp(const std::string& key, std::list<Waiting>::iterator waiting)
{
    const HttpClient::CompletionHandler done = std::move(waiting->done);
    this->queues.at(key).waiting.erase(waiting);
    this->eraseIfEmpty(key);
    done(HttpClientError::NotSent);
}

void CallQueues::refuseWaiting()
{
    std::list<Waiting> refused;
    for (auto& [key, queue] : this->queues)
        refused.splice(refused.end(), queue.waiting);
    std::erase_if(this->queues, [](const auto& queue) { return queue.second.open == 0; });
    for (const Waiting& call : refused)
        this->loop.cancel(call.timer);
    for (const Waiting& call : refused)
        call.done(HttpClientError::NotSent);
}

void CallQueues::eraseIfEmpty(const std::string& key)
{
    const auto found = this->queues.find(key);
    if (found->second.open == 0 && found->second.waiting.empty())
        this->queues.erase(found);
}

} // namespace WisteriaHill::Adapters
