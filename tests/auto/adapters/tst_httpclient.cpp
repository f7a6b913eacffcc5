#include "adapters/httpclient.h"
#include "support/httpstandin.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <sys/resource.h>

using namespace WisteriaHill;
using namespace WisteriaHill::Adapters;
using TestSupport::HttpStandIn;

namespace {

constexpr Duration patient { 10'000 };

/// The loopback address with this number.
std::string loopbackAddress(int number)
{
    constexpr int perByte = 250;
    return "127.0." + std::to_string(1 + number / perByte) + '.' + std::to_string(1 + number % perByte);
}

/// Raises the limit of open descriptors of the test's process to `count` where the system allows it.
bool allowDescriptors(rlim_t count)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return false;
    limit.rlim_cur = std::max(limit.rlim_cur, std::min(count, limit.rlim_max));
    return setrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur >= count;
}

/// Sends calls and records how each of them ended.
struct Calls {
    explicit Calls(HttpClientOptions options)
        : client(this->loop, options)
    {
    }

    void send(const std::string& address, const std::string& path, const std::string& body, Duration timeout = patient,
        Duration stallTimeout = Duration(0))
    {
        this->client.send({ .address = address,
                              .port = this->server.port(),
                              .method = "POST",
                              .path = path,
                              .body = body,
                              .timeout = timeout,
                              .stallTimeout = stallTimeout },
            [this, body](HttpCallResult result) {
                ++this->ends[body];
                this->results.insert_or_assign(body, std::move(result));
            });
        ++this->sent;
    }

    void runOnce()
    {
        if (!this->loop.runOnce())
            throw std::runtime_error("libwebsockets failed");
    }

    /// Runs the loop until every call has ended.
    void finish()
    {
        while (this->results.size() < this->sent)
            this->runOnce();
    }

    void runFor(Duration time)
    {
        bool over = false;
        this->loop.after(time, [&over]() { over = true; });
        while (!over)
            this->runOnce();
    }

    std::string bodyOf(const std::string& call) const
    {
        const auto* response = std::get_if<HttpResponse>(&this->results.at(call));
        return response ? response->body : "no response";
    }

    HttpClientError errorOf(const std::string& call) const { return std::get<HttpClientError>(this->results.at(call)); }

    HttpStandIn server;
    EventLoop loop;
    HttpClient client;
    std::map<std::string, HttpCallResult> results; ///< by the call's body
    std::map<std::string, int> ends; ///< number of completions by the call's body
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("more kept connections than the header pool of libwebsockets holds serve whole requests")
{
    constexpr int addresses = 2'200;
    REQUIRE(allowDescriptors(2 * addresses + 200));
    Calls calls({ .keepConnections = true, .maximumConnections = 3'000 });
    for (int round = 0; round < 2; ++round) {
        for (int number = 0; number < addresses; ++number)
            calls.send(loopbackAddress(number), "/answer", "call " + std::to_string(round * addresses + number));
        calls.finish();
    }
    int answered = 0;
    for (const auto& [body, result] : calls.results)
        answered += calls.bodyOf(body) == body ? 1 : 0;
    CHECK(answered == 2 * addresses);
    CHECK(calls.server.malformedRequests() == 0);
    CHECK(calls.server.acceptedConnections() == addresses);
}

TEST_CASE("at the limit idle connections give way and calls wait for busy ones")
{
    constexpr int limit = 20;
    constexpr int addresses = 300;
    Calls calls({ .keepConnections = true, .maximumConnections = limit });
    for (int number = 0; number < addresses; ++number)
        calls.send(loopbackAddress(number), number % 3 == 0 ? "/late/20" : "/answer", "call " + std::to_string(number));
    CHECK(calls.client.openConnections() == limit);
    CHECK(calls.client.waitingCalls() == addresses - limit);
    calls.finish();
    for (const auto& [body, result] : calls.results)
        CHECK(calls.bodyOf(body) == body);
    CHECK(calls.client.openConnections() <= limit);
    CHECK(calls.server.malformedRequests() == 0);
}

TEST_CASE("a call that times out while it waits for a connection was not sent")
{
    Calls calls({ .keepConnections = true, .maximumConnections = 1 });
    calls.send("127.0.0.1", "/late/200", "first");
    calls.send("127.0.0.2", "/answer", "second", Duration(50));
    calls.send("127.0.0.3", "/answer", "third");
    calls.finish();
    CHECK(calls.bodyOf("first") == "first");
    CHECK(calls.errorOf("second") == HttpClientError::NotSent);
    CHECK(calls.bodyOf("third") == "third");
    CHECK(calls.server.requestsWith("second") == 0);
}

TEST_CASE("an answer that arrives after its call's timeout does not reach the next call")
{
    Calls calls({ .keepConnections = true });
    calls.send("127.0.0.1", "/answer", "before");
    calls.finish();
    calls.send("127.0.0.1", "/late/100", "late", Duration(30));
    calls.finish();
    calls.send("127.0.0.1", "/late/150", "after");
    calls.finish();
    CHECK(calls.errorOf("late") == HttpClientError::TimedOut);
    CHECK(calls.bodyOf("after") == "after");
}

TEST_CASE("a response that nobody asked for is not taken for the next call's answer")
{
    Calls calls({ .keepConnections = true });
    calls.send("127.0.0.1", "/twice", "first");
    calls.finish();
    calls.runFor(Duration(50));
    calls.send("127.0.0.1", "/answer", "second");
    calls.finish();
    CHECK(calls.bodyOf("first") == "first");
    CHECK(calls.bodyOf("second") == "second");
}

TEST_CASE("incomplete, malformed and oversized responses are errors")
{
    Calls calls({ .keepConnections = true });
    calls.send("127.0.0.1", "/truncated", "truncated");
    calls.send("127.0.0.1", "/garbage", "garbage");
    calls.send("127.0.0.1", "/reset", "reset");
    calls.send("127.0.0.1", "/silent", "silent", Duration(50));
    calls.send("127.0.0.1", "/unframed", "unframed");
    calls.client.send({ .address = "127.0.0.1",
                          .port = calls.server.port(),
                          .method = "POST",
                          .path = "/answer",
                          .body = "oversized",
                          .timeout = patient,
                          .maximumAnswer = 5 },
        [&](HttpCallResult result) { calls.results.insert_or_assign("oversized", std::move(result)); });
    ++calls.sent;
    calls.finish();
    CHECK(calls.errorOf("truncated") == HttpClientError::Truncated);
    CHECK(calls.errorOf("garbage") == HttpClientError::Truncated);
    CHECK(calls.errorOf("reset") == HttpClientError::Truncated);
    CHECK(calls.errorOf("silent") == HttpClientError::TimedOut);
    CHECK(calls.bodyOf("unframed") == "unframed");
    CHECK(calls.errorOf("oversized") == HttpClientError::Oversized);
}

TEST_CASE("a call to a port that nobody listens on was not sent")
{
    Calls calls({ .keepConnections = true });
    calls.client.send({ .address = "127.0.0.1", .port = 1, .path = "/", .timeout = patient },
        [&](HttpCallResult result) { calls.results.insert_or_assign("refused", std::move(result)); });
    ++calls.sent;
    calls.finish();
    CHECK(calls.errorOf("refused") == HttpClientError::NotSent);
}

TEST_CASE("a connection that fails at once does not disturb the call that takes its place")
{
    Calls calls({ .keepConnections = true, .maximumConnections = 1 });
    calls.send("127.0.0.1", "/late/50", "first");
    for (int round = 0; round < 20; ++round) {
        calls.send("255.255.255.255", "/answer", "unreachable " + std::to_string(round));
        calls.send(loopbackAddress(round), "/late/3", "reachable " + std::to_string(round));
    }
    calls.finish();
    for (int round = 0; round < 20; ++round) {
        CHECK(calls.errorOf("unreachable " + std::to_string(round)) == HttpClientError::NotSent);
        CHECK(calls.bodyOf("reachable " + std::to_string(round)) == "reachable " + std::to_string(round));
    }
}

TEST_CASE("a large body and a large answer arrive whole")
{
    Calls calls({ .keepConnections = true });
    std::string body;
    body.resize(12'000'000, 'x'); // more than the socket takes at once
    calls.client.send({ .address = "127.0.0.1",
                          .port = calls.server.port(),
                          .method = "POST",
                          .path = "/answer",
                          .body = body,
                          .timeout = patient,
                          .maximumAnswer = body.size() },
        [&](HttpCallResult result) { calls.results.insert_or_assign(body, std::move(result)); });
    ++calls.sent;
    calls.send("127.0.0.1", "/refuse", "refused");
    calls.finish();
    CHECK(calls.bodyOf(body).size() == body.size());
    CHECK(std::get<HttpResponse>(calls.results.at("refused")).status == 503);
}

TEST_CASE("a request is sent whole wherever the buffers of its connection become full")
{
    constexpr std::size_t step = 8192; // half a chunk, so that the last chunk of some request does not fit
    constexpr std::size_t largest = 4'000'000;
    constexpr std::size_t parallel = 16;
    Calls calls({});
    calls.server.readLate();
    std::vector<std::size_t> unanswered; // sizes of the bodies
    for (std::size_t first = step; first <= largest; first += parallel * step) {
        std::size_t open = parallel;
        for (std::size_t size = first; size < first + parallel * step; size += step)
            calls.client.send({ .address = "127.0.0.1",
                                  .port = calls.server.port(),
                                  .method = "POST",
                                  .path = "/refuse",
                                  .body = std::string(size, 'x'),
                                  .timeout = patient },
                [&, size](const HttpCallResult& result) {
                    --open;
                    if (!std::holds_alternative<HttpResponse>(result))
                        unanswered.push_back(size);
                });
        while (open > 0)
            calls.runOnce();
    }
    CHECK(unanswered.empty());
    CHECK(calls.server.malformedRequests() == 0);
}

TEST_CASE("whatever servers do, each call ends once, with its own answer, and unsent calls stay unsent")
{
    constexpr int callCount = 4'000;
    constexpr int addresses = 60;
    constexpr int limit = 40;
    const std::vector<std::string> paths { "/answer", "/answer", "/answer", "/late/5", "/late/30", "/reset", "/refuse",
        "/truncated", "/garbage", "/twice", "/unframed", "/silent" };
    for (const unsigned int seed : { 1U, 2U, 3U }) {
        std::mt19937 random(seed);
        Calls calls({ .keepConnections = true, .maximumConnections = limit });
        std::map<std::string, std::string> pathOf;
        for (int number = 0; number < callCount; ++number) {
            const std::string body = "call " + std::to_string(number) + std::string(random() % 300, '.');
            pathOf[body] = paths[random() % paths.size()];
            calls.send(loopbackAddress(static_cast<int>(random() % addresses)), pathOf[body], body,
                Duration(5 + static_cast<int>(random() % 60)));
            if (number % 50 == 0)
                calls.runFor(Duration(1 + static_cast<int>(random() % 20)));
        }
        calls.finish();
        INFO("seed " << seed);
        int answered = 0;
        for (const auto& [body, result] : calls.results) {
            INFO(body << " to " << pathOf[body]);
            REQUIRE(calls.ends[body] == 1);
            REQUIRE(calls.server.requestsWith(body) <= 1);
            if (const auto* response = std::get_if<HttpResponse>(&result)) {
                REQUIRE(response->body == body);
                ++answered;
            } else if (std::get<HttpClientError>(result) == HttpClientError::NotSent) {
                REQUIRE(calls.server.requestsWith(body) == 0);
            }
        }
        CHECK(answered > 0);
        CHECK(calls.server.malformedRequests() == 0);
        CHECK(calls.client.openConnections() <= limit);
    }
}

TEST_CASE("a response that keeps arriving over a slow link is not abandoned")
{
    Calls calls({});
    calls.send("127.0.0.1", "/slow/40", std::string(100'000, 's'), Duration(200), Duration(200));
    calls.finish();
    CHECK(calls.bodyOf(std::string(100'000, 's')).size() == 100'000);
}

TEST_CASE("a response that stops arriving ends after the stall time-out")
{
    Calls calls({});
    const auto begin = std::chrono::steady_clock::now();
    calls.send("127.0.0.1", "/stalled", "half a response", Duration(2000), Duration(200));
    calls.finish();
    CHECK(calls.errorOf("half a response") == HttpClientError::TimedOut);
    CHECK(std::chrono::steady_clock::now() - begin < Duration(1500));
}

TEST_CASE("a response that does not begin ends after the time-out, whatever the stall time-out")
{
    Calls calls({});
    calls.send("127.0.0.1", "/silent", "no response", Duration(100), Duration(5000));
    const auto begin = std::chrono::steady_clock::now();
    calls.finish();
    CHECK(calls.errorOf("no response") == HttpClientError::TimedOut);
    CHECK(std::chrono::steady_clock::now() - begin < Duration(1500));
}
