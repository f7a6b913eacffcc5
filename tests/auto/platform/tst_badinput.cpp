// Malformed responses of backend servers, over real sockets, and malformed settings: neither may end the process, and a
// response may not be taken for an answer that the server did not give.

#include "adapters/httpserver.h"
#include "app/fleetsettings.h"
#include "platform/serverclient.h"

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>

using namespace WisteriaHill;

namespace {

constexpr std::uint16_t serverPort = 18451;
constexpr int maximumLoopRounds = 2000; ///< iterations of the event loop, far more than a response on loopback takes

/// A server that responds to every request with the given status and body, and a client that sends orders to it.
struct FixedAnswerFixture {
    Adapters::EventLoop loop;
    int status = 200;
    std::string body;
    Adapters::HttpServer server { this->loop, { .address = "127.0.0.1", .port = serverPort },
        [this](Adapters::HttpExchangeId exchange, const Adapters::HttpRequest&) {
            this->server.respond(exchange, { .status = this->status, .body = this->body });
        } };
    Platform::ServerClient client { this->loop };

    std::optional<Scheduling::OrderResult> ask(const Scheduling::ServerOrder& order)
    {
        std::optional<Scheduling::OrderResult> answer;
        this->client.send({ .server = { .id = "i-1", .address = "127.0.0.1", .port = serverPort },
            .order = order,
            .timeout = Scheduling::Duration(1000),
            .done = [&](const Scheduling::OrderResult& result) { answer = result; } });
        for (int round = 0; round < maximumLoopRounds && !answer; ++round)
            this->loop.runOnce();
        return answer;
    }
};

} // namespace

TEST_CASE("a malformed answer of a backend server counts as no answer, even when parts of it can be decoded")
{
    FixedAnswerFixture fixture;
    for (const char* body : { "", "{", "[]", "7", R"({"ClockMs":"x"})", R"({"ClockMs":1,"born":2,"Active":7})",
             R"({"ClockMs":1,"born":2,"Active":[["a.0.0.0"]],"Finished":[]})",
             R"({"ClockMs":1,"born":2,"Active":[],"Finished":[[1,"a.0.0.0",1,"done"]]})",
             R"({"ClockMs":1,"born":2,"Active":[],"Finished":[["1","a.0.0.0",1,"done",""]]})" }) {
        fixture.body = body;
        const auto answer = fixture.ask(Scheduling::PollOrder {});
        REQUIRE(answer);
        CHECK(std::holds_alternative<Scheduling::NoAnswer>(*answer));
    }
    fixture.body = R"({"ClockMs":1,"born":2,"Active":[["odd",1,"",5]],"Finished":[[3,"odd",1,"done",""]]})";
    const auto answer = fixture.ask(Scheduling::PollOrder {});
    REQUIRE(answer);
    REQUIRE(std::holds_alternative<Scheduling::PollAnswer>(*answer));
    const auto& look = std::get<Scheduling::PollAnswer>(*answer);
    CHECK(look.active.empty()); // not a task of this product
    CHECK(look.ended.size() == 1); // its number is kept, so that it can be acknowledged
}

TEST_CASE("an order gets a result for any status and body that a backend server answers with")
{
    FixedAnswerFixture fixture;
    CHECK(rc::check([&]() {
        fixture.status = *rc::gen::element(200, 400, 404, 409, 421, 429, 500, 503);
        fixture.body = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(fixture.ask(Scheduling::PollOrder {}).has_value());
        RC_ASSERT(fixture.ask(Scheduling::StopOrder { .task = { "a", 0, 0, 0 } }).has_value());
    }));
}

TEST_CASE("settings of the fleet with one damaged byte are read or refused with a reason, and never end the process")
{
    const std::string whole = R"({ "fleet": { "node": "n1", "zone": "z", "address": "127.0.0.1",
"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "relay": "127.0.0.1:3", "metrics": "127.0.0.1:4",
"heartbeatPort": 5, "store": "127.0.0.1:6", "leases": { "maximum": "6s", "stopTime": "200ms" } } })";
    REQUIRE(std::holds_alternative<App::FleetSettings>(App::parseFleetSettings(whole)));
    CHECK(rc::check([&]() {
        std::string damaged = whole;
        damaged[*rc::gen::inRange<std::size_t>(0, whole.size())] = *rc::gen::arbitrary<char>();
        App::isFleetSettings(damaged);
        const auto parsed = App::parseFleetSettings(damaged);
        if (const auto* faults = std::get_if<Utils::JsonFaults>(&parsed))
            RC_ASSERT(!faults->empty() && !faults->front().reason.empty());
    }));
}
