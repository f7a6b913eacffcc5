// Answers of backend servers over sockets and settings files that are not what they should be.

#include "adapters/httpserver.h"
#include "app/fleetsettings.h"
#include "platform/serverclient.h"

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>

using namespace WisteriaHill;

namespace {

constexpr std::uint16_t serverPort = 18451;
constexpr int mostRounds = 2000; ///< of the loop, far beyond an answer on loopback

/// A server whose every answer has the given status and body, and a client that asks it.
struct AnswerBench {
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
        for (int round = 0; round < mostRounds && !answer; ++round)
            this->loop.runOnce();
        return answer;
    }
};

} // namespace

TEST_CASE("an answer of a backend server that does not read counts as no answer, whole or in part")
{
    AnswerBench bench;
    for (const char* body : { "", "{", "[]", "7", R"({"ClockMs":"x"})", R"({"ClockMs":1,"born":2,"Active":7})",
             R"({"ClockMs":1,"born":2,"Active":[["a.0.0.0"]],"Finished":[]})",
             R"({"ClockMs":1,"born":2,"Active":[],"Finished":[[1,"a.0.0.0",1,"done"]]})",
             R"({"ClockMs":1,"born":2,"Active":[],"Finished":[["1","a.0.0.0",1,"done",""]]})" }) {
        bench.body = body;
        const auto answer = bench.ask(Scheduling::PollOrder {});
        REQUIRE(answer);
        CHECK(std::holds_alternative<Scheduling::NoAnswer>(*answer));
    }
    bench.body = R"({"ClockMs":1,"born":2,"Active":[["odd",1,"",5]],"Finished":[[3,"odd",1,"done",""]]})";
    const auto answer = bench.ask(Scheduling::PollOrder {});
    REQUIRE(answer);
    REQUIRE(std::holds_alternative<Scheduling::PollAnswer>(*answer));
    const auto& look = std::get<Scheduling::PollAnswer>(*answer);
    CHECK(look.active.empty()); // no task of ours
    CHECK(look.ended.size() == 1); // its number is kept, so that it can be acknowledged
}

TEST_CASE("whatever a backend server answers, the order has a result")
{
    AnswerBench bench;
    CHECK(rc::check([&]() {
        bench.status = *rc::gen::element(200, 400, 404, 409, 421, 429, 500, 503);
        bench.body = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(bench.ask(Scheduling::PollOrder {}).has_value());
        RC_ASSERT(bench.ask(Scheduling::StopOrder { .task = { "a", 0, 0, 0 } }).has_value());
    }));
}

TEST_CASE("settings of the fleet that are wrong are refused with a path and a reason, and never end the process")
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
