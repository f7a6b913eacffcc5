/// Successful runs that a leader could not store before it lost the leadership. It reports them to its successor, which
/// may never reach their servers.
#pragma once

#include "utils/steadytime.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

using Utils::Duration;
using Utils::SteadyTime;

/// A run that ended as done.
struct ReportedSuccess {
    std::string task; ///< as formatTaskName() writes it
    int attempt = 0;
    std::string server;

    template <typename Archive> void serialize(Archive& archive) { archive(this->task, this->attempt, this->server); }
};

/// Thread safety: none.
class UnstoredSuccesses {
public:
    /// Adds a success that is not stored yet, in place of the oldest one when the limit is reached. `number` is the
    /// number of its end record on the server.
    void add(std::int64_t number, ReportedSuccess success);

    /// Removes the successes of a server whose end records up to `number` are stored.
    void removeStored(const std::string& server, std::int64_t number);

    /// Successes for the next heartbeat of a daemon that does not lead. Each call returns some of them, in turn. All
    /// are discarded a limited time after the first call.
    std::vector<ReportedSuccess> nextBatch(SteadyTime now);

    /// Removes and returns all successes, for a daemon that leads again.
    std::vector<ReportedSuccess> takeAll();

private:
    struct Entry {
        std::int64_t number = 0;
        ReportedSuccess success;
    };

    std::deque<Entry> entries;
    std::optional<SteadyTime> reportingSince;
};

} // namespace WisteriaHill::Scheduling
