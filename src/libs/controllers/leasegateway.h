/// Batches lease operations into one message per backend server.
#pragma once

#include "controllers/outbox.h"
#include "controllers/serverhealthcontroller.h"
#include "model/blackboard.h"

#include <map>
#include <variant>
#include <vector>

namespace WisteriaHill::Controllers {

/// The outcome of one operation.
using LeaseOutcome = std::variant<Model::LeaseGranted, Model::LeaseRefusal, Model::BackendError>;
using InspectOutcome = Utils::Result<Model::ServerReport, Model::BackendError>;

/// Timings derived from the lease period L, so that no gang runs partially for longer than L: a member is lost at most
/// L/5 before the next round of renewals begins; that round extends the other leases to 3L/5 after the arrival of a
/// message that takes at most L/10; and no further round begins before all members answered. The sum is 9L/10.
struct LeaseTimings {
    Duration timeToLive { 0 }; ///< 3L/5
    Duration renewInterval { 0 }; ///< L/5
    Duration roundBound { 0 }; ///< L/5: a member that has not answered a round by then counts as lost
    Duration callTimeout { 0 }; ///< L/10
    Duration startBound { 0 }; ///< 2L/5: if a start is not confirmed by then, all members are stopped

    /// Precondition: a configuration is in force.
    static LeaseTimings from(const Model::Policy& policy);
};

/// Thread safety: none.
class LeaseGateway {
public:
    LeaseGateway(Model::Blackboard& blackboard, Outbox& outbox, ServerHealthController& health);

    /// Queues an operation for the next flush().
    void post(const Model::BackendServerId& server, Model::LeaseOperation operation, Continuation<LeaseOutcome> done);

    /// Queues an inspection of all leases of the server for the next flush().
    void inspect(const Model::BackendServerId& server, Continuation<InspectOutcome> done);

    /// Sends the queued batches. Operations for a server that is not in this zone's inventory end with NotSent.
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

/// The name of the outcome, for reasons and log details.
std::string outcomeText(const LeaseOutcome& outcome);

/// True when the server refused the operation, so that it had no effect.
bool isRefused(const LeaseOutcome& outcome);

} // namespace WisteriaHill::Controllers
