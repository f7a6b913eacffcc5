/// Keeps the blackboard's servers in line with the entries that servers write to the store.
#pragma once

#include "scheduling/servermonitor.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A backend server's entry in the store.
struct ServerEntry {
    std::string id;
    std::string service;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    std::string zone;
    std::string rack;
    std::string machine; ///< machine that this server runs on; the machine may return under another server id
    std::int64_t startedAt = 0; ///< start of the server, Unix milliseconds; 0 when the entry does not state it
    std::set<std::string> labels;
    Resources capacity;
    bool draining = false;
    Duration drainRemaining { 0 }; ///< minimum time left while draining
};

/// Decodes a row of the server table; std::nullopt when the row names no usable server.
using ServerEntryDecoder = std::function<std::optional<ServerEntry>(const Row&)>;

/// Other programs write entries too. An entry names a server to use while the configuration in force names its service;
/// all others are kept aside, since a later configuration may name it. A server whose service is withdrawn stays on the
/// blackboard until its runs are settled. Runs in the leader only. Thread safety: none.
class ServerEntries {
public:
    ServerEntries(Board& board, Effects& effects, ServerMonitor& monitor, ServerEntryDecoder decode)
        : board(board)
        , effects(effects)
        , monitor(monitor)
        , decode(std::move(decode))
    {
    }

    /// Starts a term: forgets all entries.
    void begin();

    /// Applies a new, changed or removed row of the server table.
    void apply(const Row& row, SteadyTime now);

    /// Applies all rows of the server table. Servers without a row are no longer registered.
    void reload(const std::vector<Row>& rows, SteadyTime now);

    /// Applies the entries kept aside that name servers to use by now: after a change of the configuration, and when
    /// the recorded runs are on the blackboard.
    void applyKept(SteadyTime now);

    /// Takes servers of withdrawn services off the blackboard once nothing of theirs is left to settle.
    void removeWithdrawn(SteadyTime now);

    /// True when a server has become available for new runs since the last call.
    bool takeChanged() { return std::exchange(this->changed, false); }

private:
    struct KnownEntry {
        ServerEntry entry;
        RowVersion version = 0;
        SteadyTime readAt {};
    };

    bool namesService(const std::string& service) const;
    /// True when the entry describes a server to use, or one of the blackboard whose service was withdrawn.
    bool isUsed(const ServerEntry& entry) const;
    void remove(const Row& row);
    void update(const KnownEntry& known, SteadyTime now);

    Board& board;
    Effects& effects;
    ServerMonitor& monitor;
    ServerEntryDecoder decode;
    std::map<std::string, KnownEntry> entries; ///< by server id, with those kept aside
    std::set<std::string> unreadable; ///< keys of rows that were reported as unreadable
    bool changed = false;
};

} // namespace WisteriaHill::Scheduling
