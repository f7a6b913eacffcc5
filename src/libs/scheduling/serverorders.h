/// Orders to backend servers and their answers. The adapter of a platform carries them out.
#pragma once

#include "scheduling/fleetjob.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Rises with each change of scheduler; backend servers refuse orders below the highest that they saw.
using FencingToken = std::int64_t;

/// A point on the steady clock of one incarnation of one backend server, milliseconds.
using ServerTime = std::chrono::milliseconds;

/// Where an order goes.
struct ServerAddress {
    std::string id; ///< refused by a server of another id at the same address
    std::string address; ///< IP number
    std::uint16_t port = 0;
};

struct StartOrder {
    TaskName task;
    int attempt = 1;
    std::string payload;
    ServerTime leaseEnd { 0 };
    FencingToken token = 0;
    std::string checkpoint; ///< empty to start from the beginning
    std::string ticket; ///< of placement advice; empty when none is needed
};

struct StopOrder {
    TaskName task;
    int attempt = 1;
    FencingToken token = 0;
};

/// Renews the lease of everything on the server, forgets ends, and reads what runs and what has ended.
struct PollOrder {
    std::optional<ServerTime> leaseEnd;
    FencingToken token = 0;
    std::int64_t acknowledged = 0; ///< ends up to this number are forgotten
    Duration wait { 0 }; ///< how long the answer may wait for an end
};

struct PaceOrder {
    TaskName task;
    int attempt = 1;
    int percent = 100;
    FencingToken token = 0;
};

using ServerOrder = std::variant<StartOrder, StopOrder, PollOrder, PaceOrder>;

/// One run on a backend server.
struct ActiveRun {
    TaskName task;
    int attempt = 0;
    std::string checkpoint;
    int percent = 0; ///< of its work done; of a long-running task 100 when it is at work
    std::int64_t load = 0; ///< latency in ms of a serving task, millicores in use of any other
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct EndedRun {
    std::int64_t number = 0; ///< counts from 1 in each incarnation
    TaskName task;
    int attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// The order was carried out.
struct OrderDone {
    ServerTime clock { 0 };
};

struct PollAnswer {
    ServerTime clock { 0 };
    std::int64_t startedAt = 0; ///< start of the incarnation, Unix milliseconds; tells incarnations apart
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};

enum class OrderRefusal {
    Fenced, ///< a higher token was seen
    Outdated, ///< the attempt is not higher than one that was stopped or ended there
    LeaseExpired, ///< the lease end had passed
    NoCapacity,
    NoTicket,
    Unhealthy, ///< nothing was done
    WrongInstance,
    Invalid,
};

/// No answer: the order may have been carried out, or may still be.
struct NoAnswer { };

using OrderResult = std::variant<OrderDone, PollAnswer, OrderRefusal, NoAnswer>;

/// An order to carry out; `done` is called exactly once.
struct ServerCall {
    ServerAddress server;
    ServerOrder order;
    Duration timeout { 0 };
    std::function<void(OrderResult)> done;
};

/// The name of a refusal, for logs.
std::string orderRefusalName(OrderRefusal refusal);

/// The name of an end, for logs.
std::string runEndName(RunEnd end);

} // namespace WisteriaHill::Scheduling
