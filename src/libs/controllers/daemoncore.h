/// Makes all decisions of a daemon without doing input or output: it gets inputs with the steady time, and returns
/// effects.
#pragma once

#include "controllers/claimcontroller.h"
#include "controllers/configurationcontroller.h"
#include "controllers/jobcontroller.h"
#include "controllers/leasegateway.h"
#include "controllers/membershipcontroller.h"
#include "controllers/outbox.h"
#include "controllers/requestcontroller.h"
#include "controllers/serverhealthcontroller.h"
#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <string>
#include <vector>

namespace WisteriaHill::Controllers {

struct CoreOptions {
    Model::DaemonIdentity identity;
    std::uint64_t seed = 0;
    std::vector<Model::PeerAddress> seeds; ///< peers from the settings
    std::string bootstrapTeam = "bootstrap"; ///< the team that may edit sections which no configured team owns
    std::string bootstrapCredentialSha256;
    Duration stopNotice { 0 }; ///< time in which the balancer detects that this host is not ready
    Duration stopBound { 0 }; ///< time limit of a graceful stop
};

/// Thread safety: none. After each input, the caller takes the effects and performs them in order.
class DaemonCore {
public:
    explicit DaemonCore(CoreOptions options);
    DaemonCore(const DaemonCore&) = delete;
    DaemonCore& operator=(const DaemonCore&) = delete;

    /// Inputs from callers and operators. Each except callerDisconnected() leads to exactly one AnswerCaller or
    /// AnswerDocument effect, at once or later.
    void submitRequest(CallerId caller, Model::CallerRequest request, SteadyTime now);
    void submitJob(CallerId caller, Model::JobSpecification specification, SteadyTime now);
    void cancelJob(CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, SteadyTime now);
    void describeJob(
        CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now);
    void listJobs(CallerId caller, const Model::ClientAccountId& account);
    void editSection(SectionEdit edit, SteadyTime now);
    void setDrained(CallerId caller, const Model::BackendServerId& server, bool drained, SteadyTime now);
    void callerDisconnected(CallerId caller, SteadyTime now);

    /// The client account or the team that the credential belongs to; empty when there is none.
    std::optional<Model::ClientAccountId> accountOf(const std::string& credential) const;
    std::optional<Model::TeamId> teamOf(const std::string& credential) const;
    /// True when the team owns the section. The bootstrap team owns the sections that no configured team owns.
    bool mayEdit(const Model::TeamId& team, const std::string& section) const;

    /// Inputs from peers.
    void heartbeatReceived(const Model::Heartbeat& heartbeat, SteadyTime now);
    Model::PeerReply answerPeer(const Model::PeerRequest& request, SteadyTime now);

    /// Processes the answer of a call that an effect started.
    void callAnswered(CallId call, const CallAnswer& answer, SteadyTime now);

    /// Does the work that is due at `now`. To be called every few tens of milliseconds.
    void tick(SteadyTime now);

    /// Begins a graceful stop. An ExitProcess effect follows when no work is left, or at the stop's time limit.
    void beginStop(SteadyTime now);

    /// Removes and returns the effects since the last call, in order.
    Effects takeEffects() { return this->outbox.take(); }

    const Model::Blackboard& state() const { return this->blackboard; }

    /// True while the balancer may send work.
    bool ready() const { return this->blackboard.phase == Model::HostPhase::Ready; }

    /// The state for operators, without credentials.
    Utils::Json dump(SteadyTime now) const;

private:
    void configurationApplied(SteadyTime now);
    void pollHostList(SteadyTime now);
    void continueStop(SteadyTime now);
    std::string unfinishedWork() const;

    CoreOptions options;
    Model::Blackboard blackboard;
    Outbox outbox;
    Utils::RandomSource random;
    TableWriter writer;
    ServerHealthController health;
    MembershipController membership;
    ConfigurationController configuration;
    ClaimController claims;
    RequestController requests;
    LeaseGateway gateway;
    JobController jobs;
    SteadyTime nextHostList;
    bool hostListCallOpen = false;
    SteadyTime stopBegan;
    bool exited = false;
};

} // namespace WisteriaHill::Controllers
