/// Lease operations on backend servers, gathered into one message per server.
#pragma once

#include "controllers/outbox.h"
#include "controllers/serverhealthcontroller.h"
#include "model/blackboard.h"

#include <map>
#include <variant>
#include <vector>

namespace WisteriaHill::Controllers {

/// What became of one operation.
using LeaseOutcome = std::variant<Model::LeaseGranted, Model::LeaseRefusal, Model::BackendError>;
using InspectOutcome = Utils::Result<Model::ServerReport, Model::BackendError>;

/// The times that follow from the lease period L, so that no gang runs partially for longer than L. A member is lost
/// at most L/5 before the next round of renewals begins; that round extends the others' leases to 3L/5 after a message
/// that is at most L/10 under way; no further round begins until all members answered. Together 9L/10.
struct LeaseTimings {
    Duration timeToLive { 0 }; ///< 3L/5
    Duration renewInterval { 0 }; ///< L/5
    Duration roundBound { 0 }; ///< L/5: members that have not answered a round by then are lost
    Duration callTimeout { 0 }; ///< L/10
    Duration startBound { 0 }; ///< 2L/5: every start is confirmed within it, or all are stopped

    /// Precondition: a configuration is in force.
    static LeaseTimings from(const Model::Policy& policy);
};

/// Thread safety: none.
class LeaseGateway {
public:
    LeaseGateway(Model::Blackboard& blackboard, Outbox& outbox, ServerHealthController& health);

    /// Queues an operation for the next flush.
    void post(const Model::BackendServerId& server, Model::LeaseOperation operation, Continuation<LeaseOutcome> done);

    /// Queues an inspection of all leases of the server.
    void inspect(const Model::BackendServerId& server, Continuation<InspectOutcome> done);

    /// Sends what is queued; a server that this zone's inventory does not name answers NotSent.
    void flush(SteadyTime now);

private:
    struct PendingBatch {
        Model::LeaseBatch batch;
        std::vector<Continuation<LeaseOutcome>> operations;
        std::vector<Continuation<InspectOutcome>> inspections;
    };

    void onAnswer(const Model::BackendServerId& server, const PendingBatch& batch, const LeaseBatchResult& result,
        SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    ServerHealthController& health;
    std::map<Model::BackendServerId, PendingBatch> pending;
};

/// The outcome in a few words, for reasons and logs.
std::string outcomeText(const LeaseOutcome& outcome);

/// True when the server has refused the operation, so that it had no effect.
bool isRefused(const LeaseOutcome& outcome);

} // namespace WisteriaHill::Controllers
