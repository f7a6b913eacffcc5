/// Runs one attempt of a gang: reserves every member, starts all or none, renews their leases together, and stops the
/// remaining members when one is lost.
#pragma once

#include "controllers/leasegateway.h"
#include "controllers/placementplanner.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace WisteriaHill::Controllers {

/// How an attempt ended. The end is reported once no member's task runs any more, as far as the leases can tell.
enum class GangEndKind {
    NotReserved, ///< a member could not be reserved; nothing was started
    Finished, ///< every member completed its task
    TaskFailed, ///< a member's task failed
    Evicted, ///< the gang was evicted from its accelerators
    MemberLost, ///< a member's lease or server was lost
    NotStarted, ///< a member did not confirm its start in time
    Stopped, ///< stop() was called
};

struct GangEnd {
    GangEndKind kind = GangEndKind::Stopped;
    std::string reason;
    bool mayHaveRun = false; ///< a start was sent
    Duration checkpointed { 0 }; ///< run time that every member has checkpointed
    Model::BackendServerId failedServer; ///< set for TaskFailed only
    std::map<Model::BackendServerId, Model::AcceleratorSet> blocked; ///< held by work that may not be evicted
};

/// Reports the progress of attempts to the owner of the gangs.
struct GangCallbacks {
    /// Every member is reserved. The owner then calls start().
    std::function<void(const Model::JobId&, SteadyTime)> reserved;
    /// Every member confirmed its start.
    std::function<void(const Model::JobId&, SteadyTime)> running;
    /// The attempt ended, and the controller has removed the gang.
    std::function<void(const Model::JobId&, const GangEnd&, SteadyTime)> ended;
};

/// The input of one attempt.
struct GangAttempt {
    Model::LeaseTerms terms; ///< the accelerators are filled in per member from the plan
    PlacementPlan plan;
    std::string payload;
    Duration grace { 0 }; ///< time that evicted work has to save a checkpoint
    Duration resumeFrom { 0 }; ///< checkpointed run time of earlier attempts
};

/// Thread safety: none.
class GangController {
public:
    GangController(Model::Blackboard& blackboard, Outbox& outbox, LeaseGateway& gateway, GangCallbacks callbacks);

    /// Reserves the members of the plan. Precondition: this controller has no attempt of the job.
    void reserve(GangAttempt attempt, SteadyTime now);

    /// Starts every member. Precondition: `reserved` was called, and the row of a durable job records the attempt.
    /// Ignored in any other phase than Reserved.
    void start(const Model::JobId& job, SteadyTime now);

    /// Adopts an attempt that another daemon committed. If every member is running or has finished, each lease moves to
    /// a new token; otherwise the remaining members are stopped.
    void adopt(GangAttempt attempt, SteadyTime now);

    /// Stops every member; `ended` follows. Ignored when there is no attempt of the job.
    void stop(const Model::JobId& job, std::string reason, SteadyTime now);

    /// Releases the reservation of an attempt that was not committed in time. Ignored once the attempt is started.
    void abandonReservation(const Model::JobId& job, std::string reason, SteadyTime now);

    /// Removes the attempt and leaves its leases as they are, because another daemon holds them now.
    void forget(const Model::JobId& job) { this->gangs.erase(job); }

    bool contains(const Model::JobId& job) const { return this->gangs.contains(job); }
    std::size_t openCount() const { return this->gangs.size(); }

    void tick(SteadyTime now);

private:
    enum class Phase {
        Inspecting,
        Reserving,
        AwaitingEviction, ///< evicted work still holds accelerators
        Reserved,
        Starting,
        Running,
        Adopting,
        EvictingAll, ///< one member was evicted, and the others follow
        Stopping,
    };
    struct Member {
        Model::PlacementMember placement;
        std::vector<Model::LeaseToken> replaces;
        Model::LeaseToken token = 0;
        Model::LeaseState state = Model::LeaseState::Reserved;
        Duration checkpointed { 0 };
        SteadyTime leaseExpiresBy; ///< the lease has expired by then, even if calls were lost
        bool callOpen = false;
        bool answered = false; ///< the member answered in the current round
        bool tokenUncertain = false; ///< an unanswered adoption may have replaced the token
        bool leaseEnded = false; ///< the lease ended, or its expiry need not be awaited
    };
    struct Gang {
        GangAttempt attempt;
        std::vector<Member> members;
        Phase phase = Phase::Reserving;
        SteadyTime phaseBegan;
        SteadyTime nextRound; ///< when the phase sends its messages again
        SteadyTime roundBegan;
        bool roundOpen = false; ///< some members have not answered the current round of renewals
        SteadyTime startedAt;
        bool startSent = false;
        GangEnd end;
    };

    using Handler = void (GangController::*)(Gang&, Member&, const LeaseOutcome&, SteadyTime);

    using InspectHandler = void (GangController::*)(Gang&, Member&, const InspectOutcome&, SteadyTime);

    Gang* find(const Model::JobId& job);
    LeaseTimings timings() const;
    void enter(Gang& gang, Phase phase, SteadyTime now);
    void post(Gang& gang, std::size_t index, Model::LeaseOperation operation, Handler handler, SteadyTime now);
    void postToAll(
        Gang& gang, const std::function<Model::LeaseOperation(const Member&)>& make, Handler handler, SteadyTime now);
    void postToUnanswered(
        Gang& gang, const std::function<Model::LeaseOperation(const Member&)>& make, Handler handler, SteadyTime now);

    void inspectMembers(Gang& gang, InspectHandler handler);
    void onInspectedForEviction(Gang& gang, Member& member, const InspectOutcome& outcome, SteadyTime now);
    bool mayReplace(const Gang& gang, const Member& member, const Model::LeaseView& lease) const;
    void reserveNext(Gang& gang, SteadyTime now);
    void onReserve(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void onReservationRenewed(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void completeReservationIfReady(Gang& gang, SteadyTime now);
    void sendStarts(Gang& gang, SteadyTime now);
    void onStart(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void stopAfterFailure(Gang& gang, const Member& member, SteadyTime now);
    void renewAll(Gang& gang, Handler handler, SteadyTime now);
    void renewUnanswered(Gang& gang, Handler handler, SteadyTime now);
    void tickRunning(Gang& gang, SteadyTime now);
    void sendEvictions(Gang& gang, SteadyTime now);
    void onRenew(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void onRoundComplete(Gang& gang, SteadyTime now);
    void evictAll(Gang& gang, SteadyTime now);
    void onEvictAll(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void inspectForAdoption(Gang& gang, SteadyTime now);
    void onInspectedForAdoption(Gang& gang, Member& member, const InspectOutcome& outcome, SteadyTime now);
    void onAdopt(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);

    void beginStop(Gang& gang, GangEndKind kind, std::string reason, SteadyTime now);
    void sendStops(Gang& gang, SteadyTime now);
    void onStop(Gang& gang, Member& member, const LeaseOutcome& outcome, SteadyTime now);
    void endIfAllLeasesEnded(Gang& gang, SteadyTime now);
    void tickGang(Gang& gang, SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    LeaseGateway& gateway;
    GangCallbacks callbacks;
    std::map<Model::JobId, Gang> gangs;
};

} // namespace WisteriaHill::Controllers
