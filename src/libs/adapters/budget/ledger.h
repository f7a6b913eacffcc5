/// Counts what is held for the connections to one address, and decides what is admitted and what goes.
#pragma once

#include "adapters/budget/sharelimits.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace WisteriaHill::Adapters::Budget {

using Utils::SteadyTime;

using ConnectionId = std::uint64_t;

/// What a connection costs besides what it sends.
inline constexpr std::size_t bytesOfConnection = 2048;
/// What a request costs besides its body: its header, input that arrived behind it, and a small answer.
inline constexpr std::size_t bytesOfRequest = 36'864;

/// Why something was not admitted, or a connection was closed.
enum class Refusal {
    None,
    Connections,
    AddressConnections,
    Requests,
    AccountRequests,
    Bytes,
    ConnectionBytes,
    Evicted, ///< the oldest unfinished connection, closed for a newer one
    Overdue, ///< a header, body or answer made no progress in time
};
inline constexpr std::size_t refusalCount = 9;

/// The name of a refusal, for logs and labels.
const char* refusalName(Refusal refusal);

struct Verdict {
    Refusal refusal = Refusal::None;
    std::vector<ConnectionId> evicted; ///< are no longer counted; the caller closes them

    bool admitted() const { return this->refusal == Refusal::None; }
};

/// When the limits are reached, the oldest unfinished connections make room: those that have not sent their request
/// whole, or have not taken their answer. A request that was handed over is never taken back. When nothing is
/// unfinished, or the connection is itself the oldest one, it is refused. A request that is alone is admitted up to the
/// limit of a connection. Thread safety: none. Times must not decrease.
class Ledger {
public:
    explicit Ledger(const ShareLimits& limits)
        : shareLimits(limits)
    {
    }

    /// Counts a new connection from `address`; returns its id, which is not counted when the verdict refuses it. An
    /// `own` one is of another process of the system: a part of the share is kept for those, and they go last.
    ConnectionId connect(const std::string& address, SteadyTime now, Verdict& verdict, bool own = false);

    /// The header of a request is read: the connection is receiving its body.
    Verdict receive(ConnectionId connection, SteadyTime now);

    /// `bytes` more are about to be held for the request.
    Verdict hold(ConnectionId connection, std::size_t bytes);
    void release(ConnectionId connection, std::size_t bytes);

    /// The request is whole and is about to be handed over for `account`, which may be empty.
    Verdict work(ConnectionId connection, const std::string& account);

    /// The answer is sent, and `bytes` of it are held until it is taken.
    void answer(ConnectionId connection, std::size_t bytes, SteadyTime now);

    /// The answer is taken: the connection waits for the next request.
    void finish(ConnectionId connection, SteadyTime now);

    /// The connection has ended. Does nothing for a connection that is not counted.
    void disconnect(ConnectionId connection);

    /// Connections that made no progress in time; they are no longer counted, and the caller closes them.
    std::vector<ConnectionId> takeOverdue(SteadyTime now);

    /// Connections whose answers are not known to be taken.
    std::vector<ConnectionId> answering() const;

    bool isCounted(ConnectionId connection) const { return this->entries.contains(connection); }
    /// True when `bytes` more would exceed the share.
    bool isFullFor(std::size_t bytes) const { return this->held + bytes > this->shareLimits.bytes; }
    bool isFullForOthers(std::size_t bytes) const
    {
        return this->heldByOthers + bytes > this->shareLimits.bytes - this->shareLimits.bytesOfOwn;
    }
    std::size_t heldBytes() const { return this->held; }
    std::size_t peakBytes() const { return this->peak; }
    /// The most bytes that were held since the last call.
    std::size_t takeRecentPeak() { return std::exchange(this->recentPeak, this->held); }
    std::size_t connections() const { return this->entries.size(); }
    std::size_t requests() const { return this->inWork; }
    const ShareLimits& limits() const { return this->shareLimits; }
    std::uint64_t refusals(Refusal refusal) const { return this->refused.at(static_cast<std::size_t>(refusal)); }

private:
    enum class Stage { Waiting, Receiving, InWork, Answering };

    struct Entry {
        std::string address;
        bool own = false;
        std::string account; ///< set while the request is in work
        Stage stage = Stage::Waiting;
        bool hadRequest = false;
        SteadyTime since {}; ///< begin of the stage; for a request in work, of the stage before
        std::size_t bytes = 0;
    };

    /// Of one kind, the oldest first; the system's own are the last.
    using Order = std::set<std::tuple<bool, SteadyTime, ConnectionId>>;

    void enter(ConnectionId connection, Entry& entry, Stage stage, SteadyTime now);
    void leaveWork(Entry& entry);
    void add(Entry& entry, std::size_t bytes);
    Order* orderOf(Stage stage);
    Verdict refuse(Refusal refusal, std::vector<ConnectionId> evicted = {});
    /// Makes room for `bytes`; the verdict refuses when there is none.
    Verdict makeRoom(ConnectionId connection, std::size_t bytes);
    bool isOverdue(const Entry& entry, SteadyTime now) const;

    ShareLimits shareLimits;
    std::unordered_map<ConnectionId, Entry> entries;
    std::unordered_map<std::string, std::size_t> byAddress;
    std::unordered_map<std::string, std::size_t> byAccount; ///< requests in work
    Order waiting;
    Order unfinished; ///< receiving or answering
    std::size_t held = 0;
    std::size_t heldByOthers = 0; ///< not of the system's own connections
    std::size_t connectionsOfOthers = 0;
    std::size_t peak = 0;
    std::size_t recentPeak = 0;
    std::size_t inWork = 0;
    ConnectionId last = 0;
    std::array<std::uint64_t, refusalCount> refused {};
};

} // namespace WisteriaHill::Adapters::Budget
