/// Everything a daemon decides, without any input or output: inputs come with the steady time, effects go out.
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
    std::vector<Model::PeerAddress> seeds; ///< peers known from the settings
    std::string bootstrapTeam = "bootstrap"; ///< owns the sections that no team owns
    std::string bootstrapCredentialSha256;
    Duration stopNotice { 0 }; ///< time for the balancer to notice that this host is not ready
    Duration stopBound { 0 }; ///< a graceful stop takes no longer
};

/// Thread safety: none. After each input, take the effects and carry them out in order.
class DaemonCore {
public:
    explicit DaemonCore(CoreOptions options);
    DaemonCore(const DaemonCore&) = delete;
    DaemonCore& operator=(const DaemonCore&) = delete;

    /// Callers and operators. Each gets exactly one AnswerCaller or AnswerDocument effect.
    void submitRequest(CallerId caller, Model::CallerRequest request, SteadyTime now);
    void submitJob(CallerId caller, Model::JobSpecification specification, SteadyTime now);
    void cancelJob(CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, SteadyTime now);
    void describeJob(
        CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now);
    void listJobs(CallerId caller, const Model::ClientAccountId& account);
    void editSection(SectionEdit edit, SteadyTime now);
    void setDrained(CallerId caller, const Model::BackendServerId& server, bool drained, SteadyTime now);
    void callerGone(CallerId caller, SteadyTime now);

    /// The client account or the team whose credential this is; empty when there is none.
    std::optional<Model::ClientAccountId> accountOf(const std::string& credential) const;
    std::optional<Model::TeamId> teamOf(const std::string& credential) const;
    bool mayEdit(const Model::TeamId& team, const std::string& section) const;

    /// Peers.
    void heartbeatReceived(const Model::Heartbeat& heartbeat, SteadyTime now);
    Model::PeerReply answerPeer(const Model::PeerRequest& question, SteadyTime now);

    /// The answer of a call that an effect asked for.
    void callAnswered(CallId call, const CallAnswer& answer, SteadyTime now);

    /// Lets time pass; to be called every few tens of milliseconds.
    void tick(SteadyTime now);

    /// Begins a graceful stop; an ExitProcess effect follows when nothing is left to do, within the stop's bound.
    void beginStop(SteadyTime now);

    /// Effects since the last time, in order.
    Effects takeEffects() { return this->outbox.take(); }

    const Model::Blackboard& state() const { return this->blackboard; }

    /// Ready for the balancer to send work.
    bool ready() const { return this->blackboard.phase == Model::HostPhase::Ready; }

    /// The whole state for operators; no credentials in it.
    Utils::Json dump(SteadyTime now) const;

private:
    void configurationApplied(SteadyTime now);
    void pollHostList(SteadyTime now);
    void continueStop(SteadyTime now);
    std::string unfinished() const;

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
    bool hostListOpen = false;
    SteadyTime stopBegan;
    bool exited = false;
};

} // namespace WisteriaHill::Controllers
