/// Queues of HTTP calls that are sent a few at a time.
#pragma once

#include "adapters/httpclient.h"

#include <functional>
#include <list>
#include <map>
#include <string>

namespace WisteriaHill::Adapters {

/// Keeps calls with the same key in order and at most a given number of them open. The time-out of a call counts from
/// send(), so that calls do not wait for an endpoint that does not answer for longer than their callers want. Thread
/// safety: none; all calls and callbacks on the loop's thread.
class CallQueues {
public:
    /// `openCalls` is the limit for each key. The loop and the client must outlive the queues.
    CallQueues(EventLoop& loop, HttpClient& client, std::size_t openCalls)
        : loop(loop)
        , client(client)
        , openCalls(openCalls)
    {
    }
    ~CallQueues();
    CallQueues(const CallQueues&) = delete;
    CallQueues& operator=(const CallQueues&) = delete;

    /// `make` returns the call; it runs when the call's turn has come, not at all when that is too late for an answer.
    /// The call then ends as HttpClientError::NotSent. HttpCall::timeout is set by the queue. `done` is called exactly
    /// once, from the loop.
    void send(
        const std::string& key, Duration timeout, std::function<HttpCall()> make, HttpClient::CompletionHandler done);

    /// Ends all calls that wait for their turn as HttpClientError::NotSent, before it returns.
    void refuseWaiting();

private:
    struct Waiting {
        Utils::SteadyTime latestStart {};
        Utils::SteadyTime end {}; ///< of the time-out
        std::function<HttpCall()> make;
        HttpClient::CompletionHandler done;
        EventLoop::TimerId timer;
    };

    struct Queue {
        std::size_t open = 0;
        std::list<Waiting> waiting;
    };

    /// Sends the first call for which it is not too late; the others end by their timers.
    void sendNext(const std::string& key);
    void giveUp(const std::string& key, std::list<Waiting>::iterator waiting);
    void eraseIfEmpty(const std::string& key);

    EventLoop& loop;
    HttpClient& client;
    std::size_t openCalls;
    std::map<std::string, Queue> queues; ///< without empty ones
};

} // namespace WisteriaHill::Adapters
