// Stand-in for the users' metadata store, a process on 127.0.0.1. It implements as much of the store's protocol as the
// daemons and the other stand-ins use, and removes entries of backend servers whose heartbeats cease.
//
// POST /stand-in/forget drops the history that change feeds read.

#include "adapters/httpserver.h"
#include "platform/wirenames.h"
#include "support/fakestore.h"
#include "support/standinclock.h"
#include "utils/base64.h"
#include "utils/checkedjson.h"
#include "utils/httpstatus.h"

#include <iostream>
#include <map>
#include <vector>

namespace {

using namespace WisteriaHill;
using namespace Scheduling;
using Adapters::HttpExchangeId;
using Adapters::HttpRequest;
using Adapters::HttpResponse;
using TestSupport::loopback;
using TestSupport::nowMs;
namespace HttpStatus = Utils::HttpStatus;
using Utils::Json;
namespace Wire = Platform::Wire;

constexpr const char* forgetPath = "/stand-in/forget";
constexpr Duration pollInterval { 10 };
constexpr std::int64_t entryLifetime = 1500; ///< ms; three heartbeat intervals of the server stand-in

constexpr const char* configuration = R"({"Version":1,"Routes":[
{"Name":"cut","Host":"mill.example","PathPrefix":"/cut/","Service":"scoring","Priority":0,"MaxAttempts":3,"StretchFactor":3,"TargetDurationMs":1000},
{"Name":"score","Host":"mill.example","PathPrefix":"/score/","Service":"scoring","Priority":1,"MaxAttempts":3,"StretchFactor":3,"TargetDurationMs":1000}],
"Services":[{"Name":"scoring","EnforceCapacity":true}],"Limits":{"MaxBodyBytes":262144},
"Tenants":[{"Name":"mill","ApiKeys":["mill-key"],"Guaranteed":{"Gpu":16}}]})";

Json toJson(const Row& row)
{
    Json json { { Wire::table, row.key.table }, { Wire::partition, row.key.partition }, { Wire::key, row.key.key },
        { Wire::version, row.version } };
    if (row.removed)
        json[Wire::deleted] = true;
    else
        json[Wire::value] = Utils::toBase64(row.value);
    return json;
}

RowKey keyOf(const Json& json) { return { json.at(Wire::table), json.at(Wire::partition), json.at(Wire::key) }; }

std::string argument(const HttpRequest& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

class StoreService {
public:
    StoreService(Adapters::EventLoop& loop, std::uint16_t port)
        : server(loop, { .address = loopback, .port = port },
            [this](HttpExchangeId exchange, const HttpRequest& request) { this->handle(exchange, request); })
    {
        this->store.put({ Wire::operatorTable, "", Wire::configurationKey }, configuration);
        loop.every(pollInterval, [this]() {
            this->removeSilentServers();
            this->answerWatches();
        });
    }

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
                .partition = argument(request, Wire::partition),
                .from = argument(request, "StartKey"),
                .to = argument(request, "To"),
                .limit = std::stoi(argument(request, "Limit")) });
            this->server.respond(exchange, this->page(std::get<RowPage>(result)));
        } else if (request.path == Wire::feedPath) {
            this->watches.push_back({ exchange, argument(request, Wire::table), std::stoull(argument(request, "After")),
                nowMs() + std::stoll(argument(request, Wire::wait)) });
            this->answerWatches();
        } else if (request.path == forgetPath) {
            this->store.compactedUpTo = this->store.version();
            this->server.respond(exchange, {});
        } else {
            this->server.respond(exchange, { .status = HttpStatus::notFound });
        }
    }

    HttpResponse transact(const Json& json)
    {
        Transaction transaction;
        for (const Json& row : json.value(Wire::expect, Json::array()))
            transaction.expected.push_back({ keyOf(row), row.at(Wire::version) });
        for (const Json& row : json.value(Wire::write, Json::array())) {
            transaction.writes.push_back({ keyOf(row), *Utils::fromBase64(row.at(Wire::value).get<std::string>()) });
            if (transaction.writes.back().key.table == Wire::serverTable)
                this->lastHeartbeats[transaction.writes.back().key.key] = nowMs();
        }
        for (const Json& row : json.value(Wire::remove, Json::array()))
            transaction.removals.push_back(keyOf(row));
        const CommitResult result = this->store.commit(transaction);
        if (const auto* committed = std::get_if<Committed>(&result))
            return { .body = Json { { Wire::version, committed->version }, { Wire::storeTime, nowMs() } }.dump() };
        if (std::holds_alternative<StoreError>(result))
            return { .status = HttpStatus::badRequest };
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
        return { .body = Json { { Wire::rows, rows }, { Wire::hasMore, page.more }, { Wire::version, page.version },
                     { Wire::storeTime, nowMs() } }
                             .dump() };
    }

    void removeSilentServers()
    {
        std::erase_if(this->lastHeartbeats, [&](const auto& entry) {
            if (nowMs() - entry.second < entryLifetime)
                return false;
            this->store.remove({ Wire::serverTable, "", entry.first });
            return true;
        });
    }

    void answerWatches()
    {
        std::erase_if(this->watches, [&](const Watch& watch) {
            const WatchResult result = this->store.changes(watch.table, watch.after);
            if (std::holds_alternative<HistoryCompacted>(result)) {
                this->server.respond(watch.exchange, { .status = HttpStatus::gone });
                return true;
            }
            const auto& changes = std::get<RowPage>(result);
            if (changes.rows.empty() && nowMs() < watch.until)
                return false;
            this->server.respond(watch.exchange, this->page(changes));
            return true;
        });
    }

    TestSupport::FakeStore store;
    Adapters::HttpServer server;
    std::vector<Watch> watches;
    std::map<std::string, std::int64_t> lastHeartbeats; ///< by server id; ms on the steady clock
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: storestandin PORT\n";
        return 2;
    }
    Adapters::EventLoop loop;
    const StoreService store(loop, static_cast<std::uint16_t>(std::stoi(argv[1])));
    loop.onTerminationSignal([&loop]() { loop.stop(); });
    loop.run();
    std::cout.flush();
    std::_Exit(0);
}
