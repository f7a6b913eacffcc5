/// Encodes rows of the fleet's own tables as JSON text. Decoders return std::nullopt for text that is no such row.
#pragma once

#include "scheduling/board.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// The current leader. Each of its transactions expects this row and rewrites it, so that one of a former leader fails.
struct LeadershipRow {
    std::string holder; ///< node; empty when the leader has released the row
    std::uint64_t incarnation = 0; ///< incarnation of the holder's process
    FencingToken term = 0;
    std::uint64_t serial = 0; ///< number of the transaction that wrote the row
    StoreTime formerLeadersUntil { 0 }; ///< until then a leader that does not know of its successor may renew leases
    bool leftoversRemoved = false; ///< no rows of jobs are left that ended under a release that did not remove them

    bool operator==(const LeadershipRow&) const = default;
};

/// Addresses of a daemon.
struct MemberRow {
    std::string node;
    std::string zone;
    std::string address; ///< IP address
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

/// `typical` is what is known of the queue on typical machines; null to store none.
std::string encodeRunTimes(const RunTimeSums& sums, const Estimates::QueueTimes* typical = nullptr);
std::optional<RunTimeSums> decodeRunTimes(const std::string& text);
/// std::nullopt when the row has none, or damaged ones.
std::optional<Estimates::QueueTimes> decodeTypicalTimes(const std::string& text);

/// The tasks of one occurrence with their attempts, failures, checkpoints and runs.
std::string encodeProgress(const Occurrence& occurrence, int row = 0);

/// Fills `occurrence`. Precondition: its steps have their tasks already. Returns false when the text does not match the
/// tasks; `occurrence` is then unspecified.
bool decodeProgress(const std::string& text, Occurrence& occurrence);

/// Key of the row in StoreTable::progress.
/// The job in a key that progressKey() has made.
std::string jobOfProgressKey(const std::string& key);
std::string progressKey(const std::string& jobId, int occurrence, int row = 0);

/// The occurrence in a key that progressKey() has made; std::nullopt when the key is malformed.
std::optional<int> occurrenceOfProgressKey(const std::string& key);

/// The number of the row in a key that progressKey() has made; std::nullopt when the key is malformed.
std::optional<int> rowOfProgressKey(const std::string& key);

/// Key of the row in StoreTable::jobs that requests the cancellation of a job.
std::string cancelKey(const std::string& jobId);

/// The job id in the key of a cancellation row; std::nullopt for other keys.
std::optional<std::string> jobOfCancelKey(const std::string& key);

} // namespace WisteriaHill::Scheduling
