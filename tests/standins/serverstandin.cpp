// Stand-in for one of the users' backend servers, a process on 127.0.0.1. It registers itself in the store, executes
// orders, and writes one line of JSON for each start, end and acknowledged end, with the time on the machine's steady
// clock.
//
// The payload of a job says what its tasks need: {"needs": [[millicores, megabytes, accelerators, milliseconds], ...]},
// one entry per step. POST /stand-in/health sets the server's health: "sound", "fails" (every run) or "stands" (no
// progress). A server may also fail a part of the runs that it starts, at a random moment of each.

#include "adapters/httpclient.h"
#include "adapters/httpserver.h"
#include "platform/wirenames.h"
#include "support/fakeserver.h"
#include "support/standinclock.h"
#include "utils/base64.h"
#include "utils/checkedjson.h"
#include "utils/httpstatus.h"

#include <chrono>
#include <iostream>
#include <map>
#include <random>
#include <vector>

namespace {

using namespace WisteriaHill;
using namespace Scheduling;
using Adapters::HttpExchangeId;
using Adapters::HttpRequest;
using TestSupport::loopback;
using TestSupport::nowMs;
using TestSupport::RunEvent;
using TestSupport::ServerHealth;
namespace HttpStatus = Utils::HttpStatus;
using Utils::Json;
namespace Wire = Platform::Wire;

constexpr const char* healthPath = "/stand-in/health";
constexpr Duration pollInterval { 10 };
constexpr Duration heartbeatInterval { 500 };
constexpr Duration heartbeatTimeout { 400 }; ///< below the interval, so that at most one call is open
constexpr Duration crashDelay { 30 };
constexpr int crashStatus = 9;
constexpr Duration latestFailure { 10'000 }; ///< of a run that fails
constexpr Duration lastingWork = std::chrono::hours(1); ///< from this run time on, each run fails on a failing server
constexpr int serversPerRack = 4;
constexpr Resources capacity { .milliCores = 32'000, .memoryMb = 64'000, .accelerators = 8 };

struct Options {
    std::uint16_t port = 0;
    int number = 0;
    std::uint16_t storePort = 0;
    std::uint16_t announcedPort = 0; ///< that daemons connect to
    std::string zone;
    int failingPercent = 0; ///< of the runs that it starts
};

std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

const char* refusalReason(OrderRefusal refusal)
{
    switch (refusal) {
    case OrderRefusal::Fenced:
        return "fence";
    case OrderRefusal::Outdated:
        return "old";
    case OrderRefusal::LeaseExpired:
        return "late";
    default:
        return "room";
    }
}

const char* eventName(RunEvent::Kind kind)
{
    switch (kind) {
    case RunEvent::Kind::Started:
        return "started";
    case RunEvent::Kind::Ended:
        return "ended";
    case RunEvent::Kind::Acknowledged:
        return "acknowledged";
    case RunEvent::Kind::AcknowledgedLate:
        return "acknowledgedLate";
    }
    return "";
}

class ServerService {
public:
    ServerService(Adapters::EventLoop& loop, const Options& options)
        : loop(loop)
        , options(options)
        , backend(
              { .id = "i-" + std::to_string(options.number), .service = "scoring", .capacity = capacity }, wallNowMs())
        , choices(static_cast<std::uint64_t>(options.number))
        , store(loop)
        , server(loop, { .address = loopback, .port = options.port },
              [this](HttpExchangeId exchange, const HttpRequest& request) { this->handle(exchange, request); })
    {
        this->backend.onRunEvent = [this](const RunEvent& event) { this->record(event); };
        this->sendHeartbeat();
        loop.every(pollInterval, [this]() { this->advance(); });
        loop.every(heartbeatInterval, [this]() { this->sendHeartbeat(); });
    }

private:
    struct WaitingPoll {
        HttpExchangeId exchange = 0;
        PollOrder order;
        std::int64_t until = 0;
    };

    void handle(HttpExchangeId exchange, const HttpRequest& request)
    {
        this->advance();
        if (request.path == healthPath) {
            this->backend.health = request.body == "fails" ? ServerHealth::FailsAll
                : request.body == "stands"                 ? ServerHealth::Stalled
                                                           : ServerHealth::Healthy;
            this->server.respond(exchange, {});
            return;
        }
        const Json json = Json::parse(request.body);
        if (request.path == Wire::pollPath) {
            PollOrder order { .token = json.at(Wire::fencingToken), .acknowledged = json.at(Wire::acknowledged) };
            if (json.contains(Wire::leaseEnd))
                order.leaseEnd = ServerTime(json.at(Wire::leaseEnd).get<std::int64_t>());
            this->polls.push_back({ exchange, order, nowMs() + json.value(Wire::wait, std::int64_t { 0 }) });
            this->answerPolls();
            return;
        }
        TaskName task;
        parseTaskName(json.at(Wire::task), task);
        if (request.path == Wire::stopPath) {
            const StopOrder order {
                .task = task, .attempt = json.at(Wire::attempt), .token = json.at(Wire::fencingToken)
            };
            this->respond(exchange, this->backend.handle(order, {}, {}));
            return;
        }
        const Json payload = Json::parse(json.at(Wire::payload).get<std::string>());
        const Json needs = payload.at("needs").at(static_cast<std::size_t>(task.step));
        if (payload.value("crashes", false))
            this->loop.after(crashDelay, []() { std::_Exit(crashStatus); });
        const StartOrder order { .task = task,
            .attempt = json.at(Wire::attempt),
            .leaseEnd = ServerTime(json.at(Wire::leaseEnd).get<std::int64_t>()),
            .token = json.at(Wire::fencingToken) };
        const bool isRepeated = this->backend.active.contains(task);
        const OrderResult result = this->backend.handle(order,
            { .milliCores = needs.at(0), .memoryMb = needs.at(1), .accelerators = needs.at(2) },
            Duration(needs.at(3).get<std::int64_t>()));
        if (!isRepeated && this->backend.active.contains(task))
            this->chooseFailure(this->backend.active.at(task));
        this->respond(exchange, result);
    }

    void chooseFailure(TestSupport::FakeServer::ActiveTask& run)
    {
        constexpr int wholePercent = 100;
        const bool lasts = run.work >= lastingWork && this->options.failingPercent > 0;
        if (!lasts && std::uniform_int_distribution(1, wholePercent)(this->choices) > this->options.failingPercent)
            return;
        const Duration latest = std::min(run.work, latestFailure);
        run.failsAfter = Duration(std::uniform_int_distribution<std::int64_t>(0, latest.count())(this->choices));
    }

    void respond(HttpExchangeId exchange, const OrderResult& result)
    {
        if (const auto* refusal = std::get_if<OrderRefusal>(&result))
            this->server.respond(exchange,
                { .status = HttpStatus::conflict, .body = Json { { Wire::reason, refusalReason(*refusal) } }.dump() });
        else
            this->server.respond(exchange, { .body = Json { { Wire::clock, this->clock } }.dump() });
    }

    void answerPolls()
    {
        std::erase_if(this->polls, [&](const WaitingPoll& poll) {
            if (!this->backend.hasEndAfter(poll.order.acknowledged) && nowMs() < poll.until)
                return false;
            const OrderResult result = this->backend.handle(poll.order, {}, {});
            if (const auto* answer = std::get_if<PollAnswer>(&result))
                this->server.respond(poll.exchange, { .body = encodePollAnswer(*answer).dump() });
            else
                this->respond(poll.exchange, result);
            return true;
        });
    }

    static Json encodePollAnswer(const PollAnswer& answer)
    {
        Json json { { Wire::clock, answer.clock.count() }, { Wire::startedAt, answer.startedAt },
            { Wire::activeRuns, Json::array() }, { Wire::endedRuns, Json::array() } };
        for (const ActiveRun& run : answer.active)
            json[Wire::activeRuns].push_back(
                { formatTaskName(run.task), run.attempt, run.checkpoint, run.percent, run.load });
        for (const EndedRun& run : answer.ended)
            json[Wire::endedRuns].push_back(
                { run.number, formatTaskName(run.task), run.attempt, runEndName(run.end), run.checkpoint });
        return json;
    }

    /// Advances by the time since the last call in small steps, so that after a pause leases expire at their proper
    /// times.
    void advance()
    {
        while (this->advancedTo < nowMs()) {
            const auto step = std::min<std::int64_t>(pollInterval.count(), nowMs() - this->advancedTo);
            this->advancedTo += step;
            this->clock += step;
            this->backend.advance(Duration(step));
        }
        this->answerPolls();
    }

    void record(const RunEvent& event) const
    {
        Json line { { "at", this->advancedTo }, { "event", eventName(event.kind) },
            { "server", this->backend.entry.id }, { "life", this->backend.startedAt },
            { "task", formatTaskName(event.task) }, { "attempt", event.attempt } };
        if (event.kind != RunEvent::Kind::Started)
            line["how"] = runEndName(event.end);
        std::cout << line.dump() << std::endl; // flushed, so that a kill loses no line
    }

    void sendHeartbeat()
    {
        const std::string rack = "r1-" + std::to_string(this->options.number / serversPerRack);
        const Json entry { { Wire::service, "scoring" },
            { Wire::address, std::string(loopback) + ":" + std::to_string(this->options.announcedPort) },
            { Wire::zone, this->options.zone }, { Wire::state, Wire::stateReady },
            { Wire::capacity,
                { { Wire::cpu, capacity.milliCores }, { Wire::memory, capacity.memoryMb },
                    { Wire::accelerators, capacity.accelerators } } },
            { Wire::labels, { "a", rack } }, { Wire::startedAt, this->backend.startedAt } };
        const Json row { { Wire::table, Wire::serverTable }, { Wire::partition, "" },
            { Wire::key, this->backend.entry.id }, { Wire::value, Utils::toBase64(entry.dump()) } };
        this->store.send({ .address = loopback,
                             .port = this->options.storePort,
                             .method = "POST",
                             .path = Wire::transactionPath,
                             .body = Json { { Wire::write, { row } } }.dump(),
                             .timeout = heartbeatTimeout },
            [](const Adapters::HttpCallResult&) {}); // a lost heartbeat is made up for by the next one
    }

    Adapters::EventLoop& loop;
    Options options;
    std::int64_t advancedTo = nowMs();
    std::int64_t clock = 0; ///< ms since the start
    TestSupport::FakeServer backend;
    std::mt19937_64 choices;
    std::vector<WaitingPoll> polls;
    Adapters::HttpClient store;
    Adapters::HttpServer server;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int argumentsWithZone = 6;
    constexpr int allArguments = 7;
    if (argc < 4 || argc > allArguments) {
        std::cerr << "usage: serverstandin PORT NUMBER STORE-PORT [ANNOUNCED-PORT [ZONE [FAILING-PERCENT]]]\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::stoi(argv[index])); };
    Adapters::EventLoop loop;
    const ServerService server(loop,
        { .port = port(1),
            .number = std::stoi(argv[2]),
            .storePort = port(3),
            .announcedPort = port(argc >= 5 ? 4 : 1),
            .zone = argc >= argumentsWithZone ? argv[argumentsWithZone - 1] : "sawshed",
            .failingPercent = argc == allArguments ? std::stoi(argv[allArguments - 1]) : 0 });
    loop.onTerminationSignal([&loop]() { loop.stop(); });
    loop.run();
    std::cout.flush();
    std::_Exit(0);
}
