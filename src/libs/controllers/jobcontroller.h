/// Manages jobs from submission to their end: rows, the queue, attempts, cancellation and takeover.
#pragma once

#include "controllers/gangcontroller.h"
#include "controllers/jobqueries.h"
#include "controllers/jobtakeover.h"
#include "controllers/outbox.h"
#include "controllers/sessioncontroller.h"
#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Controllers {

/// Thread safety: none.
class JobController {
public:
    JobController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, LeaseGateway& gateway,
        ServerHealthController& health, Utils::RandomSource& random);

    /// Accepts or refuses a job. The caller of a durable job is answered once the row is committed, the caller of an
    /// attached job when the job ends.
    void submit(CallerId caller, Model::JobSpecification specification, SteadyTime now);
    /// Cancels a job of the account, also one that another daemon owns.
    void cancel(CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, SteadyTime now);
    void describe(
        CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now);
    void list(CallerId caller, const Model::ClientAccountId& account);

    /// The queries about jobs, also about those that other daemons own.
    JobQueries& jobQueries() { return this->queries; }

    /// Cancels a job for a peer that received the cancellation. False if this daemon owns no unfinished job of this id.
    bool cancelOwned(const Model::JobId& job, SteadyTime now);

    /// Cancels the attached job whose caller disconnected.
    void callerDisconnected(CallerId caller, SteadyTime now);

    void tick(SteadyTime now);

    /// Gives up the ownership of durable jobs, so that peers take them over, and accepts no more jobs. Attached jobs
    /// that are not queued continue.
    void release(SteadyTime now);

    /// Answers the callers of unfinished attached jobs and of open submissions, and stops those jobs. For a graceful
    /// stop that reached its time limit.
    void abandonAll(SteadyTime now);

    /// The number of owned jobs that have not ended, and of submissions whose row write is not settled.
    std::size_t unfinishedCount() const;

    Utils::Json dump(SteadyTime now) const;

private:
    struct Submission {
        CallerId caller = 0;
        Model::JobEntry entry;
        WriteId write = 0;
        SteadyTime deadline;
    };

    std::optional<std::string> refusalReason(const Model::JobSpecification& specification) const;
    Model::JobRecord newRecord(Model::JobSpecification specification);
    void insertRow(CallerId caller, Model::JobEntry entry, SteadyTime now);
    void onInserted(const Model::JobId& job, const RowOutcome& outcome, SteadyTime now);
    void expireSubmissions(SteadyTime now);

    Model::JobEntry* find(const Model::JobId& job);
    void persist(Model::JobEntry& entry, SteadyTime now);
    void onPersisted(const Model::JobId& job, const RowOutcome& outcome, SteadyTime now);
    void onRowChanged(Model::JobEntry& entry, const Model::TableRow& row, SteadyTime now);
    void dropJob(const Model::JobId& job);

    void planQueue(SteadyTime now);
    std::vector<Model::JobEntry*> plannableJobs(SteadyTime now);
    void planJob(Model::JobEntry& entry, PlannerZone& zone, SteadyTime now);
    PlacementRequest placementRequest(const Model::JobEntry& entry, bool aged) const;
    std::map<Model::BackendServerId, Model::AcceleratorSet> heldBySiblings(const Model::JobEntry& entry) const;
    void beginAttempt(Model::JobEntry& entry, PlacementPlan plan, bool aged, SteadyTime now);
    Model::LeaseTerms termsOf(const Model::JobEntry& entry) const;

    void onGangReserved(const Model::JobId& job, SteadyTime now);
    void onGangRunning(const Model::JobId& job, SteadyTime now);
    void onGangEnded(const Model::JobId& job, const GangEnd& end, SteadyTime now);
    void requeue(Model::JobEntry& entry, const GangEnd& end, SteadyTime now);
    void finish(Model::JobEntry& entry, Model::JobState state, std::string reason, SteadyTime now);
    void cancelEntry(Model::JobEntry& entry, SteadyTime now);
    void startAttempt(Model::JobEntry& entry, SteadyTime now);
    void enforceCommitBound(SteadyTime now);
    void enforceHardLimits(SteadyTime now);
    void recheckFeasibility(SteadyTime now);
    void forgetOldFinalJobs(SteadyTime now);

    void takeOver(const LapsedSession& session, SteadyTime now);
    void onTakenOver(const Model::JobRecord& record, Model::RowVersion version, SteadyTime now);
    void resume(Model::JobEntry& entry, SteadyTime now);

    void releaseEntry(Model::JobEntry& entry, SteadyTime now);
    void answerAttached(Model::JobEntry& entry);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    TableWriter& writer;
    ServerHealthController& health;
    Utils::RandomSource& random;
    GangController gangs;
    SessionController sessions;
    JobQueries queries;
    JobTakeover takeover;
    std::map<Model::JobId, Submission> submissions;
    SteadyTime nextPlan;
    Model::Revision checkedRevision = 0;
    std::uint64_t lastNumber = 0;
    bool released = false;
};

} // namespace WisteriaHill::Controllers
