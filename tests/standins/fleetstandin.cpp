// Stand-in of the users' platform for tests with real processes: the metadata store on one port and backend servers on
// the ports after it, on 127.0.0.1. It speaks their wire as far as the daemons use it.

#include "adapters/httpserver.h"
#include "platform/documents.h"
#include "platform/wirenames.h"
#include "scheduling/placement.h"
#include "scheduling/rowcodec.h"
#include "support/fakeserver.h"
#include "support/fakestore.h"
#include "utils/base64.h"
#include "utils/httpstatus.h"

#include <chrono>
#include <iostream>
#include <memory>

namespace {

using namespace WisteriaHill;
using namespace Scheduling;
using Adapters::HttpExchangeId;
using Adapters::HttpRequest;
using Adapters::HttpResponse;
namespace HttpStatus = Utils::HttpStatus;
using Utils::Json;
namespace Wire = Platform::Wire;

constexpr const char* loopback = "127.0.0.1";
constexpr Duration pollInterval { 10 };
constexpr int serversPerRack = 4;

constexpr const char* configuration = R"({"Version":1,"Routes":[
{"Name":"cut","Host":"mill.example","PathPrefix":"/cut/","Service":"scoring","Priority":0,"MaxAttempts":3,"StretchFactor":3,"TargetDurationMs":1000},
{"Name":"score","Host":"mill.example","PathPrefix":"/score/","Service":"scoring","Priority":1,"MaxAttempts":3,"StretchFactor":3,"TargetDurationMs":1000}],
"Services":[{"Name":"scoring","EnforceCapacity":true}],"Limits":{"MaxBodyBytes":262144},
"Tenants":[{"Name":"mill","ApiKeys":["mill-key"],"Guaranteed":{"Gpu":16}}]})";

Json toJson(const Row& row)
{
    Json json { { Wire::table, row.key.table }, { Wire::part, row.key.partition }, { Wire::key, row.key.key },
        { Wire::version, row.version } };
    if (row.removed)
        json[Wire::deleted] = true;
    else
        json[Wire::value] = Utils::toBase64(row.value);
    return json;
}

RowKey keyOf(const Json& json) { return { json.at(Wire::table), json.at(Wire::part), json.at(Wire::key) }; }

std::string argument(const HttpRequest& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string refusalReason(OrderRefusal refusal)
{
    switch (refusal) {
    case OrderRefusal::Fenced:
        return "fence";
    case OrderRefusal::Outdated:
        return "old";
    case OrderRefusal::LeaseOver:
        return "late";
    default:
        return "room";
    }
}

/// The store's calls.
class StoreService {
public:
    StoreService(Adapters::EventLoop& loop, std::uint16_t port)
        : loop(loop)
        , server(loop, { .address = loopback, .port = port },
              [this](HttpExchangeId exchange, const HttpRequest& request) { this->handle(exchange, request); })
    {
        this->loop.every(pollInterval, [this]() { this->answerWatches(); });
    }

    TestSupport::FakeStore store;

private:
    struct Watch {
        HttpExchangeId exchange = 0;
        std::string table;
        RowVersion after = 0;
        std::int64_t until = 0;
    };

    void handle(HttpExchangeId exchange, const HttpRequest& request)
    {
        if (request.path == Wire::transactionPath) {
            this->server.respond(exchange, this->transact(Json::parse(request.body)));
        } else if (request.path == Wire::readPath) {
            const ReadResult result = this->store.read({ .table = argument(request, Wire::table),
                .partition = argument(request, Wire::part),
                .from = argument(request, "StartKey"),
                .to = argument(request, "To"),
                .limit = std::stoi(argument(request, "Limit")) });
            this->server.respond(exchange, this->page(std::get<RowPage>(result)));
        } else if (request.path == Wire::feedPath) {
            this->watches.push_back({ exchange, argument(request, Wire::table), std::stoull(argument(request, "After")),
                nowMs() + std::stoll(argument(request, Wire::wait)) });
            this->answerWatches();
        } else {
            this->server.respond(exchange, { .status = HttpStatus::notFound });
        }
    }

    HttpResponse transact(const Json& json)
    {
        Transaction transaction;
        for (const Json& row : json.at(Wire::expect))
            transaction.expected.push_back({ keyOf(row), row.at(Wire::version) });
        for (const Json& row : json.at(Wire::write))
            transaction.writes.push_back({ keyOf(row), *Utils::fromBase64(row.at(Wire::value).get<std::string>()) });
        for (const Json& row : json.at(Wire::remove))
            transaction.removals.push_back(keyOf(row));
        const CommitResult result = this->store.commit(transaction);
        if (const auto* committed = std::get_if<Committed>(&result))
            return { .body = Json { { Wire::version, committed->version }, { Wire::storeNow, nowMs() } }.dump() };
        Json rows = Json::array();
        for (const Row& row : std::get<Conflict>(result).current)
            rows.push_back(toJson(row));
        return { .status = HttpStatus::preconditionFailed, .body = Json { { Wire::rows, rows } }.dump() };
    }

    HttpResponse page(const RowPage& page) const
    {
        Json rows = Json::array();
        for (const Row& row : page.rows)
            rows.push_back(toJson(row));
        return { .body = Json { { Wire::rows, rows }, { Wire::more, page.more }, { Wire::version, page.version },
                     { Wire::storeNow, nowMs() } }
                             .dump() };
    }

    void answerWatches()
    {
        std::erase_if(this->watches, [&](const Watch& watch) {
            const WatchResult result = this->store.changes(watch.table, watch.after);
            const auto& changes = std::get<RowPage>(result);
            if (changes.rows.empty() && nowMs() < watch.until)
                return false;
            this->server.respond(watch.exchange, this->page(changes));
            return true;
        });
    }

    Adapters::EventLoop& loop;
    Adapters::HttpServer server;
    std::vector<Watch> watches;
};

/// One backend server's calls.
class BackendService {
public:
    BackendService(Adapters::EventLoop& loop, StoreService& store, std::uint16_t port, int number)
        : store(store)
        , backend({ .id = "i-" + std::to_string(number),
                      .service = "scoring",
                      .address = loopback,
                      .port = port,
                      .capacity = { .milliCores = 32'000, .memoryMb = 64'000, .accelerators = 8 } },
              nowMs())
        , server(loop, { .address = loopback, .port = port },
              [this](HttpExchangeId exchange, const HttpRequest& request) { this->handle(exchange, request); })
    {
        const Json entry { { Wire::service, "scoring" },
            { Wire::address, std::string(loopback) + ":" + std::to_string(port) }, { Wire::zone, "sawshed" },
            { Wire::state, Wire::stateReady },
            { Wire::capacity, { { Wire::cpu, 32'000 }, { Wire::memory, 64'000 }, { Wire::accelerators, 8 } } },
            { Wire::labels, { "a", "r1-" + std::to_string(number / serversPerRack) } } };
        store.store.put({ Wire::serverTable, "", this->backend.entry.id }, entry.dump());
        loop.every(pollInterval, [this]() { this->advance(); });
    }

private:
    struct WaitingLook {
        HttpExchangeId exchange = 0;
        LookOrder order;
        std::int64_t until = 0;
    };

    void handle(HttpExchangeId exchange, const HttpRequest& request)
    {
        const Json json = Json::parse(request.body);
        if (request.path == Wire::lookPath) {
            LookOrder order { .token = json.at(Wire::token), .acknowledged = json.at(Wire::acknowledged) };
            if (json.contains(Wire::leaseEnd))
                order.leaseEnd = ServerTime(json.at(Wire::leaseEnd).get<std::int64_t>());
            this->looks.push_back({ exchange, order, nowMs() + json.value(Wire::wait, std::int64_t { 0 }) });
            this->answerLooks();
            return;
        }
        TaskName task;
        parseTaskName(json.at(Wire::task), task);
        if (request.path == Wire::stopPath) {
            this->respond(exchange,
                this->backend.handle(
                    StopOrder { .task = task, .attempt = json.at(Wire::attempt), .token = json.at(Wire::token) }, {},
                    {}));
            return;
        }
        const auto row = this->store.store.find({ StoreTable::jobs, StoreTable::intakePartition, task.jobId });
        const std::optional<JobRecord> job = row ? decodeJob(*row) : std::nullopt;
        if (!job || job->specification.payload != json.at(Wire::payload).get<std::string>()) {
            this->server.respond(exchange, { .status = HttpStatus::notFound }); // nobody asked for it
            return;
        }
        const StepSpecification& step = job->specification.steps.at(static_cast<std::size_t>(task.step));
        const OrderResult result
            = this->backend.handle(StartOrder { .task = task,
                                       .attempt = json.at(Wire::attempt),
                                       .leaseEnd = ServerTime(json.at(Wire::leaseEnd).get<std::int64_t>()),
                                       .token = json.at(Wire::token) },
                countedNeed(step), step.estimate);
        this->respond(exchange, result);
    }

    void respond(HttpExchangeId exchange, const OrderResult& result)
    {
        if (const auto* refusal = std::get_if<OrderRefusal>(&result))
            this->server.respond(exchange,
                { .status = HttpStatus::conflict, .body = Json { { Wire::reason, refusalReason(*refusal) } }.dump() });
        else
            this->server.respond(exchange, { .body = Json { { Wire::clock, nowMs() } }.dump() });
    }

    void answerLooks()
    {
        std::erase_if(this->looks, [&](const WaitingLook& look) {
            if (!this->backend.hasEndAfter(look.order.acknowledged) && nowMs() < look.until)
                return false;
            const OrderResult result = this->backend.handle(look.order, {}, {});
            if (const auto* answer = std::get_if<LookAnswer>(&result))
                this->server.respond(look.exchange, { .body = encodeLook(*answer).dump() });
            else
                this->respond(look.exchange, result);
            return true;
        });
    }

    static Json encodeLook(const LookAnswer& answer)
    {
        Json json { { Wire::clock, answer.clock.count() }, { Wire::born, answer.startedAt },
            { Wire::active, Json::array() }, { Wire::finished, Json::array() } };
        for (const ActiveRun& run : answer.active)
            json[Wire::active].push_back(
                { formatTaskName(run.task), run.attempt, run.checkpoint, run.percent, run.load });
        for (const EndedRun& run : answer.ended)
            json[Wire::finished].push_back(
                { run.number, formatTaskName(run.task), run.attempt, runEndName(run.end), run.checkpoint });
        return json;
    }

    void advance()
    {
        const std::int64_t now = nowMs();
        this->backend.advance(Duration(now - this->advancedAt));
        this->advancedAt = now;
        this->answerLooks();
    }

    StoreService& store;
    TestSupport::FakeServer backend;
    Adapters::HttpServer server;
    std::vector<WaitingLook> looks;
    std::int64_t advancedAt = nowMs();
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: fleetstandin FIRST-PORT SERVERS\n";
        return 2;
    }
    const int firstPort = std::stoi(argv[1]);
    const int count = std::stoi(argv[2]);
    Adapters::EventLoop loop;
    StoreService store(loop, static_cast<std::uint16_t>(firstPort));
    store.store.put({ Wire::operatorTable, "", Wire::configurationKey }, configuration);
    std::vector<std::unique_ptr<BackendService>> backends;
    for (int number = 1; number <= count; ++number)
        backends.push_back(
            std::make_unique<BackendService>(loop, store, static_cast<std::uint16_t>(firstPort + number), number));
    loop.onTerminationSignal([&loop]() { loop.stop(); });
    loop.run();
    std::cout.flush();
    std::_Exit(0);
}
