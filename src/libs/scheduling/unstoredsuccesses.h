/// Runs that a scheduler saw end well and could not store before it lost the leadership. It tells its successor, which
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
    /// An end that is to be stored; `number` is its number on the server.
    void add(std::int64_t number, ReportedSuccess success);

    /// The ends of a server up to `number` are stored.
    void removeStored(const std::string& server, std::int64_t number);

    /// What a daemon that does not lead tells the others with its next heartbeat: some of them, in turn, for a while
    /// after the first call.
    std::vector<ReportedSuccess> nextBatch(SteadyTime now);

    /// All of them, for a daemon that leads again.
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
