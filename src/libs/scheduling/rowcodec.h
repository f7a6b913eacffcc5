/// Rows of the fleet's own tables as JSON text.
#pragma once

#include "scheduling/board.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// Who schedules. Each transaction of the scheduler expects this row and rewrites it, so that a late one fails.
struct LeadershipRow {
    std::string holder; ///< node; empty when the scheduler has stepped down
    std::uint64_t incarnation = 0; ///< of the holder's process
    FencingToken term = 0;
    std::uint64_t serial = 0; ///< of the transaction that wrote the row

    bool operator==(const LeadershipRow&) const = default;
};

/// How to reach a daemon.
struct MemberRow {
    std::string node;
    std::string zone;
    std::string address; ///< IP number
    std::uint16_t heartbeatPort = 0; ///< UDP
    std::uint16_t relayPort = 0; ///< HTTP
    std::uint64_t incarnation = 0;

    bool operator==(const MemberRow&) const = default;
};

std::string encodeLeadership(const LeadershipRow& row);
std::optional<LeadershipRow> decodeLeadership(const std::string& text);

std::string encodeMember(const MemberRow& row);
std::optional<MemberRow> decodeMember(const std::string& text);

std::string encodeJob(const JobRecord& record);
std::optional<JobRecord> decodeJob(const std::string& text);

std::string encodeState(JobState state);
std::optional<JobState> decodeState(const std::string& text);

std::string encodeRunTimes(const RunTimeSums& sums);
std::optional<RunTimeSums> decodeRunTimes(const std::string& text);

/// The tasks of one occurrence with their attempts, failures, checkpoints and runs.
std::string encodeProgress(const Occurrence& occurrence);

/// Fills `occurrence`, whose steps have their tasks already. False when the text does not fit them; the occurrence is
/// then unspecified.
bool decodeProgress(const std::string& text, Occurrence& occurrence);

/// Key of the row in StoreTable::progress.
std::string progressKey(const std::string& jobId, int occurrence);

/// Key of the mark in StoreTable::jobs that a job is to be cancelled.
std::string cancelKey(const std::string& jobId);

/// The job of a cancel mark's key; nothing for other keys.
std::optional<std::string> jobOfCancelKey(const std::string& key);

} // namespace WisteriaHill::Scheduling
