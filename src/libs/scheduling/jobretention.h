/// Removes the rows of jobs that ended long ago.
#pragma once

#include "scheduling/crashcontroller.h"
#include "scheduling/leadership.h"
#include "scheduling/statewriter.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Keeps an ended job for a while, then removes its row and, once the store has confirmed that, its state. A row
/// without a state is a new job, so the state goes last. Runs in the leader only. Thread safety: none.
class JobRetention {
public:
    /// `retention` is how long an ended job and its state are kept.
    JobRetention(Board& board, Effects& effects, const Leadership& leadership, StateWriter& writer,
        CrashController& crashes, Duration retention)
        : board(board)
        , effects(effects)
        , leadership(leadership)
        , writer(writer)
        , crashes(crashes)
        , retention(retention)
    {
    }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Starts a term.
    void begin();

    /// True for a job that has ended under an earlier release, which removed states but left the rows of jobs. The
    /// times are the store's and the wall-clock time that the daemons agree on. Precondition: the job has neither a
    /// state nor progress.
    bool isLeftover(const JobRecord& record, StoreTime storeNow, WallTime wallNow) const;

    /// Removes the row of such a job.
    void removeLeftover(const Row& row);

    /// Removes a state or the progress of a job that has no row any more.
    void removeOrphan(const RowKey& key) { this->writer.remove(key); }

    /// Returns true when a job row is not a new job for now: it was read before its removal, or the removal of a job
    /// under the same id is not complete. In the latter case handleRemovedStates() returns the row later.
    bool claimsRow(const Row& row, SteadyTime now);

    /// Removes what is due.
    void tick(SteadyTime now);

    /// Processes that the states of these jobs are removed. Returns the rows of jobs that clients have submitted again
    /// under the same ids.
    std::vector<Row> handleRemovedStates(const std::vector<std::string>& ids);

    /// True once no row of an earlier release is left.
    bool leftoversAreRemoved() const { return this->leftovers.empty(); }

private:
    using RowVersions = std::map<std::string, RowVersion>; ///< of job rows, by job id

    struct RemovedRow {
        RowVersion version = 0;
        SteadyTime at {};
    };

    void findDue(SteadyTime now);
    /// Removes the next rows that are due, if any.
    void removeNext(SteadyTime now);
    void handleResult(const RowVersions& batch, const CommitResult& result);
    void handleRemovedRow(const std::string& id, RowVersion version, SteadyTime now);

    Board& board;
    Effects& effects;
    const Leadership& leadership;
    StateWriter& writer;
    CrashController& crashes;
    Duration retention;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0; ///< number of the term; answers of earlier terms are ignored
    bool callOpen = false;
    SteadyTime nextCall {};
    RowVersions due; ///< to be removed
    RowVersions leftovers;
    std::set<std::string> separately; ///< ids of jobs with a conflict in a transaction with others
    std::set<std::string> stateRemovals; ///< ids of jobs whose row is removed, and whose state is not yet
    std::map<std::string, Row> submittedAgain;
    std::map<std::string, RemovedRow> removed; ///< a table that is being read may still contain these
};

} // namespace WisteriaHill::Scheduling
