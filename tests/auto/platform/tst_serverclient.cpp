// Orders to a backend server that accepts connections and answers nothing, over real sockets.

#include "adapters/httpserver.h"
#include "platform/serverclient.h"
#include "utils/checkedjson.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

using namespace WisteriaHill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t silentPort = 18'455;
constexpr Scheduling::Duration timeout { 400 };

struct SilentServerFixture {
    Adapters::EventLoop loop;
    int arrived = 0; ///< orders that the server received
    Adapters::HttpServer server { this->loop, { .address = "127.0.0.1", .port = silentPort },
        [this](Adapters::HttpExchangeId, const Adapters::HttpRequest&) { ++this->arrived; } };
    Platform::ServerClient client { this->loop };
    std::map<std::string, int> ends;

    void send(Scheduling::ServerOrder order)
    {
        this->client.send({ .server = { .id = "i-1", .address = "127.0.0.1", .port = silentPort },
            .order = std::move(order),
            .timeout = timeout,
            .done = [this](const Scheduling::OrderResult& result) {
                const bool unanswered = std::holds_alternative<Scheduling::NoAnswer>(result);
                const bool unsent = std::holds_alternative<Scheduling::NotSent>(result);
                ++this->ends[unanswered ? "unanswered" : unsent ? "not sent" : "other"];
            } });
    }

    void runFor(Scheduling::Duration time)
    {
        bool over = false;
        this->loop.after(time, [&over]() { over = true; });
        while (!over)
            this->loop.runOnce();
    }
};

} // namespace

TEST_CASE("orders that wait behind one without an answer end in time, are not sent late, and this is known")
{
    SilentServerFixture fixture;
    constexpr int orders = 6;
    for (int number = 0; number < orders; ++number)
        fixture.send(Scheduling::StartOrder {
            .task = { "0123456789abcdef", 0, 0, number }, .payload = "round", .leaseEnd = 6s, .token = 1 });
    fixture.runFor(timeout + timeout / 4);
    CHECK(fixture.ends["unanswered"] == 1);
    CHECK(fixture.ends["not sent"] == orders - 1);
    fixture.runFor(timeout);
    CHECK(fixture.arrived == 1);
}

TEST_CASE("polls do not wait for orders without an answer")
{
    SilentServerFixture fixture;
    fixture.send(Scheduling::StopOrder { .task = { "0123456789abcdef", 0, 0, 0 }, .token = 1 });
    fixture.send(Scheduling::PollOrder { .token = 1 });
    fixture.runFor(timeout / 2);
    CHECK(fixture.arrived == 2);
}

// An answer with as many end records as the platform lists at once was taken for the whole list.
TEST_CASE("an answer to a poll with as many end records as fit may leave others out")
{
    constexpr std::uint16_t port = 18'456;
    const int listed = GENERATE(0, 499, 500);
    CAPTURE(listed);
    Adapters::EventLoop loop;
    std::unique_ptr<Adapters::HttpServer> server;
    server = std::make_unique<Adapters::HttpServer>(loop,
        Adapters::HttpServerOptions { .address = "127.0.0.1", .port = port },
        [&](Adapters::HttpExchangeId exchange, const Adapters::HttpRequest&) {
            Utils::Json answer { { "ClockMs", 1000 }, { "born", 77 }, { "Active", Utils::Json::array() },
                { "Finished", Utils::Json::array() } };
            for (int number = 1; number <= listed; ++number)
                answer["Finished"].push_back(
                    { number, "0123456789abcdef.0.0." + std::to_string(number), 1, "done", "" });
            server->respond(exchange, { .body = answer.dump() });
        });
    Platform::ServerClient client(loop);
    std::optional<Scheduling::OrderResult> result;
    client.send({ .server = { .id = "i-1", .address = "127.0.0.1", .port = port },
        .order = Scheduling::PollOrder { .token = 1 },
        .timeout = 2s,
        .done = [&](const Scheduling::OrderResult& received) { result = received; } });
    while (!result)
        loop.runOnce();
    const auto* answer = std::get_if<Scheduling::PollAnswer>(&*result);
    REQUIRE(answer);
    CHECK(answer->ended.size() == static_cast<std::size_t>(listed));
    CHECK(answer->moreEnded == (listed == 500));
}
