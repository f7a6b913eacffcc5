/// Orders to backend servers and their answers. A platform adapter sends them.
#pragma once

#include "scheduling/fleetjob.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Rises with each change of leader. Backend servers refuse orders with a lower token than the highest they have seen.
using FencingToken = std::int64_t;

/// A point on the steady clock of one incarnation of one backend server, milliseconds.
using ServerTime = std::chrono::milliseconds;

/// An order without an answer may still be executed for this long.
constexpr Duration lateExecutionTime { 12'500 };

struct ServerAddress {
    std::string id; ///< a server with another id at the same address refuses the order
    std::string address; ///< IP address
    std::uint16_t port = 0;
};

struct StartOrder {
    TaskName task;
    int attempt = 1;
    std::string payload;
    ServerTime leaseEnd { 0 };
    FencingToken token = 0;
    std::string checkpoint; ///< empty to start from the beginning
    std::string ticket; ///< placement ticket; empty when the queue needs none
};

/// What became of the placement ticket that a start order carried.
struct UsedTicket {
    TaskName task;
    std::string server;
    std::string text;
    bool accepted = false;
    SteadyTime sentAt {}; ///< the order left this process then or later
};

struct StopOrder {
    TaskName task;
    int attempt = 1;
    FencingToken token = 0;
};

/// Renews the lease of all runs on the server, acknowledges end records and lists active and ended runs.
struct PollOrder {
    std::optional<ServerTime> leaseEnd; ///< unset when the lease is not renewed
    FencingToken token = 0;
    std::int64_t acknowledged = 0; ///< the server discards its end records up to this number
    Duration wait { 0 }; ///< how long the server may wait for the end of a run before it answers
};

/// Sets the speed of a run.
struct PaceOrder {
    TaskName task;
    int attempt = 1;
    int percent = 100; ///< speed relative to full speed
    FencingToken token = 0;
};

using ServerOrder = std::variant<StartOrder, StopOrder, PollOrder, PaceOrder>;

/// A run that a backend server lists as active.
struct ActiveRun {
    TaskName task;
    int attempt = 0;
    std::string checkpoint;
    int percent = 0; ///< share of the work that is done; for a long-running task 100 while it is at work
    std::int64_t load = 0; ///< latency in ms for a serving task, millicores in use for any other
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// The record of an ended run, which a backend server keeps until it is acknowledged.
struct EndedRun {
    std::int64_t number = 0; ///< counts from 1 in each incarnation of the server
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
    std::int64_t startedAt = 0; ///< start of the server's incarnation, Unix milliseconds; identifies the incarnation
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    bool moreEnded = false; ///< the server may have further end records, which this answer had no room for
};

enum class OrderRefusal {
    Fenced, ///< the server has seen a higher token
    Outdated, ///< the attempt is not higher than one that was stopped or ended there
    LeaseExpired, ///< the lease end in the order had passed
    NoCapacity,
    NoTicket,
    Unhealthy, ///< the server accepts no orders for now; nothing was done
    WrongInstance, ///< the server at the address has another id
    Invalid,
};

/// No answer arrived; the order may have been carried out or may still be.
struct NoAnswer { };

/// The order did not leave this daemon and will not be carried out.
struct NotSent { };

using OrderResult = std::variant<OrderDone, PollAnswer, OrderRefusal, NoAnswer, NotSent>;

/// An order to send; `done` is called exactly once.
struct ServerCall {
    ServerAddress server;
    ServerOrder order;
    Duration timeout { 0 }; ///< includes the wait for earlier orders to the same server
    std::function<bool()> mayBeSent {}; ///< optional; called right before the order leaves; when false, it is not sent
    std::function<void(OrderResult)> done;
};

/// The name of a refusal, for logs.
std::string orderRefusalName(OrderRefusal refusal);

/// The name of an end, for logs.
std::string runEndName(RunEnd end);

} // namespace WisteriaHill::Scheduling
