#include "adapters/callqueues.h"
#include "support/httpstandin.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <thread>
#include <vector>

using namespace WisteriaHill;
using namespace WisteriaHill::Adapters;
using TestSupport::HttpStandIn;
using namespace std::chrono_literals;

namespace {

constexpr const char* address = "127.0.0.1";

struct QueueFixture {
    /// Queues a call under a name, which is its body.
    void send(const std::string& key, const std::string& path, const std::string& name, Duration timeout)
    {
        this->queues.send(
            key, timeout,
            [this, path, name]() {
                this->made.push_back(name);
                return HttpCall {
                    .address = address, .port = this->server.port(), .method = "POST", .path = path, .body = name
                };
            },
            [this, name, begin = Utils::steadyNow()](HttpCallResult result) {
                this->took[name] = std::chrono::duration_cast<Duration>(Utils::steadyNow() - begin);
                const bool first = this->results.emplace(name, std::move(result)).second;
                REQUIRE(first);
            });
    }

    void runFor(Duration time)
    {
        bool over = false;
        this->loop.after(time, [&over]() { over = true; });
        while (!over)
            this->loop.runOnce();
    }

    /// Runs until so many calls have ended, or longer than any of them may take.
    void runUntilEnded(std::size_t calls)
    {
        constexpr Duration limit { 3000 };
        const Utils::SteadyTime begin = Utils::steadyNow();
        while (this->results.size() < calls && Utils::steadyNow() - begin < limit)
            this->runFor(5ms);
    }

    std::string bodyOf(const std::string& name) const
    {
        const auto* response = std::get_if<HttpResponse>(&this->results.at(name));
        return response ? response->body : "no response";
    }

    std::optional<HttpClientError> errorOf(const std::string& name) const
    {
        const auto* error = std::get_if<HttpClientError>(&this->results.at(name));
        return error ? std::optional(*error) : std::nullopt;
    }

    HttpStandIn server;
    EventLoop loop;
    HttpClient client { this->loop, { .keepConnections = true } };
    CallQueues queues { this->loop, this->client, 1 };
    std::vector<std::string> made; ///< in the order in which they were sent
    std::map<std::string, HttpCallResult> results;
    std::map<std::string, Duration> took;
};

} // namespace

TEST_CASE("calls with one key are sent in order on one connection, those with another do not wait for them")
{
    QueueFixture fixture;
    fixture.send("a", "/late/50", "a1", 2s);
    fixture.send("a", "/answer", "a2", 2s);
    fixture.send("a", "/answer", "a3", 2s);
    fixture.send("b", "/answer", "b1", 2s);
    CHECK(fixture.made == std::vector<std::string> { "a1", "b1" });
    fixture.runUntilEnded(4);
    CHECK(fixture.made == std::vector<std::string> { "a1", "b1", "a2", "a3" });
    for (const char* name : { "a1", "a2", "a3", "b1" })
        CHECK(fixture.bodyOf(name) == name);
    CHECK(fixture.server.acceptedConnections() == 2);
}

TEST_CASE("a call that waits for most of its time-out is never sent and ends in time")
{
    QueueFixture fixture;
    fixture.send("a", "/silent", "first", 1200ms);
    fixture.send("a", "/answer", "second", 400ms);
    fixture.send("a", "/answer", "third", 400ms);
    fixture.runFor(500ms);
    for (const char* name : { "second", "third" }) {
        REQUIRE(fixture.results.contains(name));
        CHECK(fixture.errorOf(name) == HttpClientError::NotSent);
        CHECK(fixture.took.at(name) <= 400ms);
    }
    fixture.runFor(1000ms);
    CHECK(fixture.errorOf("first") == HttpClientError::TimedOut);
    CHECK(fixture.made == std::vector<std::string> { "first" });
    CHECK(fixture.server.requestsWith("second") == 0);
    CHECK(fixture.server.requestsWith("third") == 0);
}

TEST_CASE("a call that has waited has the rest of its time-out for its answer")
{
    QueueFixture fixture;
    fixture.send("a", "/late/150", "first", 1s);
    fixture.send("a", "/silent", "second", 400ms);
    fixture.runFor(700ms);
    CHECK(fixture.bodyOf("first") == "first");
    CHECK(fixture.errorOf("second") == HttpClientError::TimedOut);
    CHECK(fixture.took.at("second") < 500ms);
    CHECK(fixture.made == std::vector<std::string> { "first", "second" });
}

TEST_CASE("a call whose time is over when its turn comes is not sent, also while the process was held up")
{
    QueueFixture fixture;
    fixture.send("a", "/late/50", "first", 1s);
    fixture.send("a", "/answer", "second", 100ms);
    std::this_thread::sleep_for(200ms);
    fixture.runUntilEnded(2);
    CHECK(fixture.bodyOf("first") == "first");
    CHECK(fixture.errorOf("second") == HttpClientError::NotSent);
    CHECK(fixture.server.requestsWith("second") == 0);
}

TEST_CASE("a queue whose calls have all ended sends again")
{
    QueueFixture fixture;
    for (const char* name : { "first", "second" }) {
        fixture.send("a", "/refuse", name, 1s);
        fixture.runUntilEnded(fixture.results.size() + 1);
        REQUIRE(fixture.results.contains(name));
    }
    CHECK(fixture.made.size() == 2);
}

TEST_CASE("calls that still wait when their queues are destroyed do not end")
{
    QueueFixture fixture;
    int ended = 0;
    {
        CallQueues queues(fixture.loop, fixture.client, 0);
        queues.send(
            "a", 50ms, []() { return HttpCall {}; }, [&ended](const HttpCallResult&) { ++ended; });
    }
    fixture.runFor(100ms);
    CHECK(ended == 0);
}
