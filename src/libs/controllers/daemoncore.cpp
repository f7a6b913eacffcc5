#include "controllers/daemoncore.h"

#include "controllers/statedump.h"
#include "utils/digest.h"
#include "utils/httpstatus.h"

#include <algorithm>

namespace WisteriaHill::Controllers {

namespace {

using Model::HostPhase;
using Utils::Event;
using Utils::Overloaded;

constexpr Duration hostListInterval { 2000 };
constexpr Duration hostListTimeout { 900 };

Model::Blackboard initialBlackboard(const CoreOptions& options)
{
    Model::Blackboard blackboard;
    blackboard.self = options.identity;
    return blackboard;
}

} // namespace

DaemonCore::DaemonCore(CoreOptions givenOptions)
    : options(std::move(givenOptions))
    , blackboard(initialBlackboard(this->options))
    , random(this->options.seed)
    , writer(this->blackboard, this->outbox, this->random)
    , health(this->blackboard, this->outbox, this->random)
    , membership(this->blackboard, this->outbox, this->health, this->random, this->options.seeds)
    , configuration(
          this->blackboard, this->outbox, this->random, [this](SteadyTime now) { this->configurationApplied(now); })
    , claims(this->blackboard, this->outbox, this->writer, this->random)
    , requests(this->blackboard, this->outbox, this->claims, this->health, this->random)
    , gateway(this->blackboard, this->outbox, this->health)
    , jobs(this->blackboard, this->outbox, this->writer, this->gateway, this->health, this->random)
{
}

void DaemonCore::submitRequest(CallerId caller, Model::CallerRequest request, SteadyTime now)
{
    this->requests.submit(caller, std::move(request), now);
}

void DaemonCore::submitJob(CallerId caller, Model::JobSpecification specification, SteadyTime now)
{
    this->jobs.submit(caller, std::move(specification), now);
    this->gateway.flush(now);
}

void DaemonCore::cancelJob(
    CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, SteadyTime now)
{
    this->jobs.cancel(caller, account, job, now);
    this->gateway.flush(now);
}

void DaemonCore::describeJob(
    CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now)
{
    this->jobs.jobQueries().describe(caller, account, job, explain, now);
}

void DaemonCore::listJobs(CallerId caller, const Model::ClientAccountId& account)
{
    this->jobs.jobQueries().list(caller, account);
}

void DaemonCore::editSection(SectionEdit edit, SteadyTime now) { this->configuration.edit(std::move(edit), now); }

void DaemonCore::setDrained(CallerId caller, const Model::BackendServerId& server, bool drained, SteadyTime now)
{
    const bool known = this->blackboard.configuration && this->blackboard.configuration->server(server);
    if (!known) {
        this->outbox.add(AnswerDocument { .caller = caller,
            .status = Utils::HttpStatus::notFound,
            .document = { { "error", "unknown backend server " + server.value() } } });
        return;
    }
    this->health.setDrained(server, drained, now);
    this->outbox.add(AnswerDocument { .caller = caller,
        .status = Utils::HttpStatus::ok,
        .document = { { "server", server }, { "drained", drained } } });
}

void DaemonCore::callerDisconnected(CallerId caller, SteadyTime now) { this->requests.callerDisconnected(caller, now); }

std::optional<Model::ClientAccountId> DaemonCore::accountOf(const std::string& credential) const
{
    if (!this->blackboard.configuration)
        return std::nullopt;
    const Model::ClientAccount* account
        = this->blackboard.configuration->accountOfCredential(Utils::sha256Hex(credential));
    return account ? std::optional(account->id) : std::nullopt;
}

std::optional<Model::TeamId> DaemonCore::teamOf(const std::string& credential) const
{
    const std::string digest = Utils::sha256Hex(credential);
    if (digest == this->options.bootstrapCredentialSha256)
        return Model::TeamId(this->options.bootstrapTeam);
    const Model::Team* team
        = this->blackboard.configuration ? this->blackboard.configuration->teamOfCredential(digest) : nullptr;
    return team ? std::optional(team->id) : std::nullopt;
}

bool DaemonCore::mayEdit(const Model::TeamId& team, const std::string& section) const
{
    if (this->blackboard.configuration) {
        for (const auto& [id, candidate] : this->blackboard.configuration->teams) {
            if (std::ranges::find(candidate.sections, section) != candidate.sections.end())
                return id == team;
        }
    }
    return team.value() == this->options.bootstrapTeam;
}

void DaemonCore::heartbeatReceived(const Model::Heartbeat& heartbeat, SteadyTime now)
{
    this->membership.heartbeatReceived(heartbeat, now);
}

Model::PeerReply DaemonCore::answerPeer(const Model::PeerRequest& request, SteadyTime now)
{
    Model::PeerReply reply = std::visit(
        Overloaded {
            [this](const Model::FetchConfiguration&) -> Model::PeerReply { return this->configuration.copy(); },
            [&](const Model::CancelOwnedJob& cancel) -> Model::PeerReply {
                return Model::CancelOwnedJobReply { this->jobs.cancelOwned(cancel.job, now) };
            },
        },
        request);
    this->gateway.flush(now);
    return reply;
}

void DaemonCore::callAnswered(CallId call, const CallAnswer& answer, SteadyTime now)
{
    this->outbox.complete(call, answer, now);
    this->gateway.flush(now);
}

void DaemonCore::configurationApplied(SteadyTime now)
{
    this->health.configurationChanged(now);
    if (this->blackboard.phase == HostPhase::Starting) {
        this->blackboard.phase = HostPhase::Ready;
        this->outbox.log(Event::DaemonReady, "revision " + std::to_string(this->blackboard.configuration->revision));
    }
}

void DaemonCore::tick(SteadyTime now)
{
    this->writer.tick(now);
    this->requests.tick(now);
    // After the announced leave, only requests and table writes that callers wait for continue.
    if (this->exited)
        return;
    this->pollHostList(now);
    this->configuration.tick(now);
    this->health.tick(now);
    this->jobs.tick(now);
    this->gateway.flush(now);
    this->membership.tick(now);
    if (this->blackboard.phase == HostPhase::Stopping)
        this->continueStop(now);
}

void DaemonCore::pollHostList(SteadyTime now)
{
    if (this->hostListCallOpen || now < this->nextHostList)
        return;
    this->hostListCallOpen = true;
    this->nextHostList = now + hostListInterval;
    this->outbox.fetchHostList(hostListTimeout, [this](const HostListResult& result, SteadyTime at) {
        this->hostListCallOpen = false;
        const auto* hosts = std::get_if<std::vector<ListedHost>>(&result);
        if (!hosts)
            return;
        this->membership.hostListReceived(*hosts);
        this->health.hostListReceived(*hosts, at);
    });
}

void DaemonCore::beginStop(SteadyTime now)
{
    if (this->blackboard.phase == HostPhase::Stopping)
        return;
    this->blackboard.phase = HostPhase::Stopping;
    this->stopBegan = now;
    this->outbox.log(Event::DaemonStopping, this->unfinishedWork());
    this->jobs.release(now);
    this->gateway.flush(now);
}

std::string DaemonCore::unfinishedWork() const
{
    return std::to_string(this->requests.openCount()) + " requests, " + std::to_string(this->jobs.unfinishedCount())
        + " jobs, " + std::to_string(this->claims.openCount()) + " claims, "
        + std::to_string(this->configuration.openCount()) + " edits, " + std::to_string(this->writer.pending())
        + " writes";
}

void DaemonCore::continueStop(SteadyTime now)
{
    const bool finished = this->requests.openCount() == 0 && this->jobs.unfinishedCount() == 0
        && this->claims.openCount() == 0 && this->configuration.openCount() == 0 && this->writer.pending() == 0;
    const bool noticePassed = now - this->stopBegan >= this->options.stopNotice;
    const bool boundReached = now - this->stopBegan >= this->options.stopBound;
    if (!boundReached && !(finished && noticePassed))
        return;
    if (!finished) {
        this->outbox.log(Event::StopBoundReached, this->unfinishedWork());
        this->requests.abandonAll(now);
        this->jobs.abandonAll(now);
        this->gateway.flush(now);
    }
    this->exited = true;
    this->membership.announceLeave(now);
    this->outbox.log(Event::DaemonStopped, this->unfinishedWork());
    this->outbox.add(ExitProcess {});
}

Utils::Json DaemonCore::dump(SteadyTime now) const
{
    Utils::Json json = dumpBlackboard(this->blackboard, now);
    json["queue"] = { { "open", this->requests.openCount() }, { "queued", this->requests.queued() } };
    json["claims"] = this->claims.openCount();
    json["writesPending"] = this->writer.pending();
    json["jobs"] = this->jobs.dump(now);
    json["callsOpen"] = this->outbox.openCalls();
    return json;
}

} // namespace WisteriaHill::Controllers
