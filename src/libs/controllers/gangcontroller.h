/// One attempt of a gang: reserve every member, start all or none, renew all together, stop the rest when one is lost.
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

/// How an attempt ended. By then no member runs any more, as far as leases can tell.
enum class GangEndKind {
    NotReserved, ///< a member could not be reserved; nothing was started
    Finished, ///< every member ran to its end
    TaskFailed, ///< a member's task failed
    Evicted, ///< the accelerators were reclaimed
    MemberLost, ///< a member's lease or server was lost
    NotStarted, ///< a start was not confirmed in time
    Stopped, ///< as asked for by stop()
};

struct GangEnd {
    GangEndKind kind = GangEndKind::Stopped;
    std::string reason;
    bool mayHaveRun = false; ///< a start was sent
    Duration checkpointed { 0 }; ///< work that every member has saved
    Model::BackendServerId failedServer; ///< on TaskFailed
    std::map<Model::BackendServerId, Model::AcceleratorSet> blocked; ///< found held by work that may not be evicted
};

/// What the owner of gangs is told.
struct GangCallbacks {
    std::function<void(const Model::JobId&, SteadyTime)> reserved; ///< every member; start() is awaited
    std::function<void(const Model::JobId&, SteadyTime)> running; ///< every start is confirmed
    std::function<void(const Model::JobId&, const GangEnd&, SteadyTime)> ended; ///< the gang is forgotten after this
};

/// What an attempt is made of.
struct GangAttempt {
    Model::LeaseTerms terms; ///< accelerators are those of the plan's members
    PlacementPlan plan;
    std::string payload;
    Duration grace { 0 }; ///< for work that is evicted
    Duration resumeFrom { 0 };
};

/// Thread safety: none.
class GangController {
public:
    GangController(Model::Blackboard& blackboard, Outbox& outbox, LeaseGateway& gateway, GangCallbacks callbacks);

    /// Begins to reserve. Precondition: no attempt of the job is known here.
    void reserve(GangAttempt attempt, SteadyTime now);

    /// Starts every member. Precondition: `reserved` was told and the attempt is committed.
    void start(const Model::JobId& job, SteadyTime now);

    /// Takes over an attempt that another daemon committed: if every member runs, each lease is moved to a new token;
    /// otherwise what is left of it is stopped.
    void adopt(GangAttempt attempt, SteadyTime now);

    /// Stops every member; `ended` follows. Ignored when no attempt is known.
    void stop(const Model::JobId& job, std::string reason, SteadyTime now);

    /// Gives up an attempt that was not committed in time. Ignored once it is started.
    void abandonReservation(const Model::JobId& job, std::string reason, SteadyTime now);

    /// Forgets the attempt without touching its leases, which another daemon holds now.
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
        EvictingAll, ///< an eviction of one member is carried to all
        Stopping,
    };
    struct Member {
        Model::PlacementMember placement;
        std::vector<Model::LeaseToken> replaces;
        Model::LeaseToken token = 0;
        Model::LeaseState state = Model::LeaseState::Reserved;
        Duration checkpointed { 0 };
        SteadyTime leaseExpiresBy; ///< no lease is left after this
        bool callOpen = false;
        bool answered = false; ///< in this round
        bool tokenUncertain = false; ///< its token may have been replaced by one that is not known here
        bool leaseEnded = false;
    };
    struct Gang {
        GangAttempt attempt;
        std::vector<Member> members;
        Phase phase = Phase::Reserving;
        SteadyTime phaseBegan;
        SteadyTime nextRound;
        SteadyTime roundBegan;
        bool roundOpen = false; ///< some members have not answered this round of renewals
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
