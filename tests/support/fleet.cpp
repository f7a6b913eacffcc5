#include "support/fleet.h"

#include "utils/result.h"

#include <algorithm>

namespace WisteriaHill::Tests {

namespace {

using Controllers::CallAnswer;
using Controllers::DaemonCore;
using Controllers::LeaseBatchResult;
using Controllers::RunResult;
using Model::BackendError;
using Model::TableAnswer;
using Model::TableError;

constexpr Duration tickInterval { 50 };
constexpr Duration leaseCheckInterval { 25 };
constexpr std::uint16_t firstPeerPort = 9000;
constexpr std::uint64_t largestDelayMs = 4;
constexpr Duration stopBound { 30'000 };
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t accelerators = 8;

Duration parsePeriod(const Utils::Json& policy)
{
    return Utils::parseDuration(policy.at("leasePeriod").get<std::string>()).value();
}

} // namespace

struct Fleet::Host {
    std::unique_ptr<DaemonCore> core;
    std::uint64_t life = 0; ///< one per process; messages to earlier ones are lost
    bool paused = false;
    bool exited = false;
    Model::Revision revision = 0; ///< last seen in force
    bool cutFromPlatform = false;
    bool cutFromPeers = false;
    std::set<std::size_t> cutServers;
    std::deque<Input> deferred; ///< while paused
    std::set<Model::CallerId> openCallers;
};

struct Fleet::Server {
    Server(std::uint32_t count, Model::Incarnation incarnation)
        : state(count, incarnation)
    {
    }
    ServerState state;
    bool alive = true;
    bool silent = false;
    bool failsEverything = false;
    Duration serviceTime { 0 };
    std::uint32_t busySlots = 0;
    std::uint64_t run = 0;
    std::uint64_t life = 0;
    SteadyTime lastNewWork;
};

struct Fleet::Call {
    std::size_t host = 0;
    std::uint64_t life = 0;
    Controllers::CallId id = 0;
    bool answered = false;
};

Fleet::Fleet(FleetOptions givenOptions)
    : options(std::move(givenOptions))
    , random(this->options.seed)
    , facts(parsePeriod(this->options.policy))
{
    for (std::uint32_t index = 0; index < this->options.zone.servers; ++index) {
        this->servers.push_back(std::make_unique<Server>(accelerators, ++this->lastIncarnation));
        this->servers.back()->serviceTime = this->options.serviceTime;
        this->servers.back()->state.setIgnoresExpiry(this->options.broken == BrokenVariant::ServerIgnoresLeaseExpiry);
        this->servers.back()->state.setCheckpointTime(this->options.checkpointTime);
        this->scheduleLeaseCheck(index);
    }
    this->seedConfiguration();
    for (std::uint32_t index = 0; index < this->options.hosts; ++index) {
        this->hosts.push_back(std::make_unique<Host>());
        this->start(index);
    }
}

Fleet::~Fleet() = default;

void Fleet::seedConfiguration()
{
    Model::SectionDocuments documents = zoneDocuments(this->options.zone);
    documents["policy"] = this->options.policy;
    documents["guarantees"] = this->options.guarantees;
    Model::TableTransaction transaction;
    for (const auto& [name, document] : documents) {
        const Utils::Json row { { "changeId", "seed" }, { "team", "bootstrap" }, { "document", document } };
        transaction.writes.push_back({ "configuration/section/" + name, row.dump() });
    }
    transaction.writes.push_back({ "configuration/revision", R"({"revision": 1})" });
    this->tableState.apply(transaction);
}

Duration Fleet::networkDelay() { return Duration(1 + static_cast<std::int64_t>(this->random.below(largestDelayMs))); }

void Fleet::start(std::size_t index)
{
    Host& host = *this->hosts[index];
    if (host.core)
        return;
    Controllers::CoreOptions core { .identity = { .host = Model::EntryHostId("host" + std::to_string(index)),
                                        .zone = Model::AvailabilityZoneId(this->options.zone.zone),
                                        .incarnation = ++this->lastIncarnation,
                                        .address = { "127.0.0.1", static_cast<std::uint16_t>(firstPeerPort + index) } },
        .seed = this->random.bits(),
        .stopNotice = Duration(500),
        .stopBound = stopBound };
    for (std::size_t peer = 0; peer < this->options.hosts; ++peer)
        core.seeds.push_back({ "127.0.0.1", static_cast<std::uint16_t>(firstPeerPort + peer) });
    host.core = std::make_unique<DaemonCore>(std::move(core));
    host.life = ++this->lastLife;
    host.paused = false;
    host.exited = false;
    host.revision = 0;
    host.deferred.clear();
    this->scheduleTick(index, host.life);
}

void Fleet::kill(std::size_t index)
{
    Host& host = *this->hosts[index];
    host.core.reset();
    host.paused = false;
    host.deferred.clear();
    this->facts.hostLost(host.openCallers);
    host.openCallers.clear();
}

void Fleet::pause(std::size_t index) { this->hosts[index]->paused = this->hosts[index]->core != nullptr; }

void Fleet::resume(std::size_t index)
{
    Host& host = *this->hosts[index];
    if (!std::exchange(host.paused, false))
        return;
    const std::deque<Input> deferred = std::exchange(host.deferred, {});
    for (const Input& give : deferred)
        this->input(index, give);
    this->scheduleTick(index, host.life);
}

void Fleet::stopGracefully(std::size_t index)
{
    this->input(index, [this](DaemonCore& core) { core.beginStop(this->now()); });
}

bool Fleet::isRunning(std::size_t index) const
{
    return this->hosts[index]->core != nullptr && !this->hosts[index]->paused;
}

bool Fleet::hasExited(std::size_t index) const { return this->hosts[index]->exited; }

DaemonCore& Fleet::core(std::size_t index) { return *this->hosts[index]->core; }

void Fleet::cutFromPlatform(std::size_t host, bool cut) { this->hosts[host]->cutFromPlatform = cut; }

void Fleet::cutFromPeers(std::size_t host, bool cut) { this->hosts[host]->cutFromPeers = cut; }

void Fleet::cutFromServer(std::size_t host, std::size_t server, bool cut)
{
    if (cut)
        this->hosts[host]->cutServers.insert(server);
    else
        this->hosts[host]->cutServers.erase(server);
}

void Fleet::scheduleTick(std::size_t index, std::uint64_t life)
{
    this->queue.after(tickInterval, [this, index, life]() {
        Host& host = *this->hosts[index];
        if (!host.core || host.life != life || host.paused)
            return;
        this->input(index, [this](DaemonCore& core) { core.tick(this->now()); });
        this->scheduleTick(index, life);
    });
}

void Fleet::input(std::size_t index, const Input& give)
{
    Host& host = *this->hosts[index];
    if (!host.core)
        return;
    give(*host.core);
    this->checkRevision(index);
    this->carryOut(index);
}

void Fleet::checkRevision(std::size_t index)
{
    Host& host = *this->hosts[index];
    const auto& configuration = host.core->state().configuration;
    const Model::Revision revision = configuration ? configuration->revision : 0;
    if (revision < host.revision)
        this->facts.violation("the configuration in force on host" + std::to_string(index) + " reverted");
    host.revision = revision;
}

void Fleet::deliver(std::size_t index, std::uint64_t life, Input give)
{
    Host& host = *this->hosts[index];
    if (!host.core || host.life != life)
        return;
    if (host.paused)
        host.deferred.push_back(std::move(give));
    else
        this->input(index, give);
}

void Fleet::carryOut(std::size_t index)
{
    Host& host = *this->hosts[index];
    const std::uint64_t life = host.life;
    for (const Controllers::Effect& effect : host.core->takeEffects()) {
        std::visit([&](const auto& known) { this->perform(index, known); }, effect);
        if (!host.core || host.life != life)
            return;
    }
}

std::shared_ptr<Fleet::Call> Fleet::open(
    std::size_t host, Controllers::CallId id, Duration timeout, const CallAnswer& timeoutAnswer)
{
    auto call = std::make_shared<Call>(Call { .host = host, .life = this->hosts[host]->life, .id = id });
    this->queue.after(timeout, [this, call, timeoutAnswer]() { this->answerCall(call, timeoutAnswer, Duration(0)); });
    return call;
}

void Fleet::answerCall(const std::shared_ptr<Call>& call, const CallAnswer& answer, Duration delay)
{
    this->queue.after(delay, [this, call, answer]() {
        if (std::exchange(call->answered, true))
            return;
        this->deliver(call->host, call->life,
            [this, call, answer](DaemonCore& core) { core.callAnswered(call->id, answer, this->now()); });
    });
}

CallAnswer Fleet::lostRequest(const CallAnswer& asUnknown, const CallAnswer& asNotSent) const
{
    return this->options.broken == BrokenVariant::LostRequestReportedAsNotSent ? asNotSent : asUnknown;
}

void Fleet::perform(std::size_t index, const Controllers::CallTable& effect)
{
    const auto call = this->open(index, effect.call, effect.timeout, TableAnswer(TableError::Unknown));
    if (this->faults.platformDown || this->hosts[index]->cutFromPlatform) {
        // Half of the calls find no connection, the others lose theirs.
        if (this->random.chance(0.5))
            this->answerCall(call, TableAnswer(TableError::NotSent), this->networkDelay());
        return;
    }
    Model::TableOperation operation = effect.operation;
    if (this->options.broken == BrokenVariant::TableIgnoresConditions) {
        if (auto* transaction = std::get_if<Model::TableTransaction>(&operation))
            transaction->conditions.clear();
    }
    // A slow platform carries a call out even when its caller has given up.
    this->queue.after(this->networkDelay() + this->faults.platformDelay, [this, call, operation]() {
        const TableAnswer answer = this->tableState.apply(operation);
        const bool write = std::holds_alternative<Model::TableTransaction>(operation);
        const bool lost
            = this->hosts[call->host]->cutFromPlatform || (write && this->random.chance(this->faults.loseTableAnswers));
        if (!lost)
            this->answerCall(call, answer, this->networkDelay());
    });
}

void Fleet::perform(std::size_t index, const Controllers::FetchHostList& effect)
{
    const Controllers::HostListResult away = Controllers::HostListError::Unavailable;
    const auto call = this->open(index, effect.call, effect.timeout, away);
    if (!this->faults.platformDown && !this->hosts[index]->cutFromPlatform)
        this->answerCall(call, Controllers::HostListResult(this->listed), this->networkDelay());
}

bool Fleet::reachable(std::size_t host, std::size_t server) const
{
    return !this->hosts[host]->cutServers.contains(server) && !this->servers[server]->silent;
}

void Fleet::perform(std::size_t index, const Controllers::RunOnServer& effect)
{
    const std::size_t server = this->serverIndex(effect.server.id);
    const auto call = this->open(index, effect.call, effect.timeout, RunResult(BackendError::TimedOut));
    if (!this->servers[server]->alive) {
        this->answerCall(call, RunResult(BackendError::NotSent), this->networkDelay());
        return;
    }
    const bool lostThere = !this->reachable(index, server) || this->random.chance(this->faults.loseRequests);
    if (lostThere)
        return;
    this->queue.after(this->networkDelay(), [this, server, call, request = effect.request]() {
        if (this->servers[server]->alive)
            this->runRequest(server, call, request);
    });
}

void Fleet::runRequest(std::size_t index, const std::shared_ptr<Call>& call, const Model::RunRequest& request)
{
    Server& server = *this->servers[index];
    if (server.state.isLeaving()) {
        this->answerCall(call, RunResult(BackendError::Leaving), this->networkDelay());
        return;
    }
    if (server.busySlots >= slots) {
        this->answerCall(call, RunResult(BackendError::Busy), this->networkDelay());
        return;
    }
    this->facts.ran(request.body);
    ++server.run;
    server.lastNewWork = this->now();
    if (server.failsEverything) {
        this->answerCall(call, RunResult(BackendError::Failed), this->networkDelay());
        return;
    }
    ++server.busySlots;
    this->queue.after(server.serviceTime, [this, index, call, request, life = server.life]() {
        Server& running = *this->servers[index];
        if (!running.alive || running.life != life) {
            this->answerCall(call, RunResult(BackendError::Truncated), this->networkDelay());
            return;
        }
        --running.busySlots;
        const bool lostBack = !this->reachable(call->host, index) || this->random.chance(this->faults.loseAnswers);
        if (lostBack) {
            const CallAnswer unknown = RunResult(BackendError::Truncated);
            this->answerCall(call, this->lostRequest(unknown, RunResult(BackendError::NotSent)), this->networkDelay());
            return;
        }
        const bool swapped = this->options.broken == BrokenVariant::AnswersSwapped && this->random.chance(0.1);
        RunResult answer = Model::RunAnswer { .body = swapped ? "answer to another" : "answer to " + request.body,
            .busySlots = running.busySlots,
            .leaving = running.state.isLeaving() };
        this->answerCall(call, answer, this->networkDelay());
    });
}

void Fleet::perform(std::size_t index, const Controllers::SendLeaseBatch& effect)
{
    const std::size_t server = this->serverIndex(effect.server.id);
    const auto call = this->open(index, effect.call, effect.timeout, LeaseBatchResult(BackendError::TimedOut));
    if (!this->servers[server]->alive) {
        this->answerCall(call, LeaseBatchResult(BackendError::NotSent), this->networkDelay());
        return;
    }
    if (!this->reachable(index, server) || this->random.chance(this->faults.loseRequests))
        return;
    this->queue.after(this->networkDelay(), [this, server, call, batch = effect.batch]() {
        if (this->servers[server]->alive)
            this->applyLeases(server, call, batch);
    });
}

void Fleet::applyLeases(std::size_t index, const std::shared_ptr<Call>& call, const Model::LeaseBatch& batch)
{
    Server& server = *this->servers[index];
    const bool newWork = std::ranges::any_of(batch.operations,
        [](const Model::LeaseOperation& operation) { return std::holds_alternative<Model::ReserveLease>(operation); });
    Model::LeaseBatchAnswer answer = server.state.apply(batch, this->now());
    answer.report.busySlots = server.busySlots;
    const bool granted = std::ranges::any_of(answer.results,
        [](const Model::LeaseResult& result) { return std::holds_alternative<Model::LeaseGranted>(result); });
    if (newWork && granted)
        server.lastNewWork = this->now();
    this->collectChanges(index);
    if (this->reachable(call->host, index) && !this->random.chance(this->faults.loseAnswers))
        this->answerCall(call, LeaseBatchResult(std::move(answer)), this->networkDelay());
}

void Fleet::scheduleLeaseCheck(std::size_t index)
{
    this->queue.after(leaseCheckInterval, [this, index]() {
        this->servers[index]->state.advance(this->now());
        this->collectChanges(index);
        this->scheduleLeaseCheck(index);
    });
}

void Fleet::collectChanges(std::size_t index)
{
    ServerState& state = this->servers[index]->state;
    for (const std::uint64_t gangToken : state.takeReserved())
        this->facts.memberReserved(gangToken, this->serverId(index));
    for (TaskChange change : state.takeChanges()) {
        change.server = this->serverId(index);
        this->facts.taskChanged(change);
    }
}

void Fleet::perform(std::size_t index, const Controllers::SendHeartbeat& effect)
{
    const std::size_t target = this->hostAt(effect.to);
    const bool cut = target >= this->hosts.size() || this->hosts[index]->cutFromPeers
        || this->hosts[target]->cutFromPeers || this->random.chance(this->faults.loseHeartbeats);
    if (cut)
        return;
    this->queue.after(this->networkDelay(), [this, target, heartbeat = effect.heartbeat]() {
        this->deliver(target, this->hosts[target]->life,
            [this, heartbeat](DaemonCore& core) { core.heartbeatReceived(heartbeat, this->now()); });
    });
}

void Fleet::perform(std::size_t index, const Controllers::AskPeer& effect)
{
    const Controllers::PeerResult unreachable = Controllers::PeerError::Unreachable;
    const auto call = this->open(index, effect.call, effect.timeout, unreachable);
    const std::size_t target = this->hostAt(effect.to);
    const bool cut = target >= this->hosts.size() || this->hosts[index]->cutFromPeers
        || this->hosts[target]->cutFromPeers || !this->hosts[target]->core;
    if (cut)
        return;
    this->queue.after(this->networkDelay(), [this, target, call, question = effect.question]() {
        this->deliver(target, this->hosts[target]->life, [this, call, question](DaemonCore& core) {
            const Model::PeerReply reply = core.answerPeer(question, this->now());
            this->answerCall(call, Controllers::PeerResult(reply), this->networkDelay());
        });
    });
}

void Fleet::perform(std::size_t index, const Controllers::AnswerCaller& effect)
{
    this->hosts[index]->openCallers.erase(effect.caller);
    this->facts.answered(effect.caller, effect.answer);
}

void Fleet::perform(std::size_t, const Controllers::AnswerDocument& effect)
{
    if (!this->documents.emplace(effect.caller, effect).second)
        this->facts.violation("an operator got two answers");
}

void Fleet::perform(std::size_t index, const Controllers::LogEvent& effect)
{
    const auto sinceStart
        = std::chrono::duration_cast<Duration>(this->now().time_since_epoch() - std::chrono::hours(1));
    const std::string where = "host" + std::to_string(index) + " at " + std::to_string(sinceStart.count()) + " ms: ";
    this->events.push_back({ effect.event, where + effect.details });
}

void Fleet::perform(std::size_t index, const Controllers::ExitProcess&)
{
    Host& host = *this->hosts[index];
    if (!host.openCallers.empty())
        this->facts.violation("a graceful stop cut off " + std::to_string(host.openCallers.size()) + " requests");
    host.exited = true;
    // The core is still on the stack; it goes at once after this input.
    this->queue.after(Duration(0), [this, index, life = host.life]() {
        if (this->hosts[index]->life == life)
            this->kill(index);
    });
}

std::size_t Fleet::serverIndex(const Model::BackendServerId& id) const
{
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        if (this->serverId(index) == id)
            return index;
    }
    return 0;
}

std::size_t Fleet::hostAt(const Model::PeerAddress& address) const
{
    return static_cast<std::size_t>(address.port - firstPeerPort);
}

Model::BackendServerId Fleet::serverId(std::size_t server) const
{
    return Model::BackendServerId(this->options.zone.zone + "-w" + std::to_string(server));
}

void Fleet::killServer(std::size_t index)
{
    Server& server = *this->servers[index];
    server.alive = false;
    server.state.restart(++this->lastIncarnation, this->now());
    this->collectChanges(index);
}

void Fleet::restartServer(std::size_t index)
{
    Server& server = *this->servers[index];
    if (server.alive)
        this->killServer(index);
    server.alive = true;
    server.state.setLeaving(false);
    server.silent = false;
    server.busySlots = 0;
    ++server.life;
}

void Fleet::setSilent(std::size_t server, bool silent) { this->servers[server]->silent = silent; }

void Fleet::setLeaving(std::size_t server) { this->servers[server]->state.setLeaving(true); }

void Fleet::listAsLeaving(std::size_t server, Duration lag)
{
    this->queue.after(lag, [this, server]() {
        this->listed.push_back({ .kind = Controllers::ListedHost::Kind::BackendServer,
            .id = this->serverId(server).value(),
            .leaving = true });
    });
}

void Fleet::setFailsEverything(std::size_t server, bool fails)
{
    this->servers[server]->failsEverything = fails;
    this->servers[server]->state.setFailsEverything(fails);
}

void Fleet::setServiceTime(std::size_t server, Duration time) { this->servers[server]->serviceTime = time; }

SteadyTime Fleet::lastNewWork(std::size_t server) const { return this->servers[server]->lastNewWork; }

std::uint64_t Fleet::requestsRun(std::size_t server) const { return this->servers[server]->run; }

Model::CallerId Fleet::request(
    std::size_t host, const std::string& body, const std::string& key, const std::string& account)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->facts.sent(caller, body, key);
    if (!this->hosts[host]->core) {
        this->facts.hostLost({ caller });
        return caller;
    }
    this->hosts[host]->openCallers.insert(caller);
    Model::CallerRequest request { .account = Model::ClientAccountId(account),
        .service = Model::ServiceId(key.empty() ? "score" : "reprice"),
        .body = body,
        .idempotencyKey = key };
    this->deliver(host, this->hosts[host]->life,
        [this, caller, request](DaemonCore& core) { core.submitRequest(caller, request, this->now()); });
    return caller;
}

Model::CallerId Fleet::job(std::size_t host, const Model::JobSpecification& specification)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->life,
        [this, caller, specification](DaemonCore& core) { core.submitJob(caller, specification, this->now()); });
    return caller;
}

Model::CallerId Fleet::cancelJob(std::size_t host, const Model::JobId& job)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->life, [this, caller, job](DaemonCore& core) {
        core.cancelJob(caller, Model::ClientAccountId("large"), job, this->now());
    });
    return caller;
}

Model::CallerId Fleet::describeJob(std::size_t host, const Model::JobId& job)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->life, [this, caller, job](DaemonCore& core) {
        core.describeJob(caller, Model::ClientAccountId("large"), job, false, this->now());
    });
    return caller;
}

Model::CallerId Fleet::edit(std::size_t host, const std::string& section, const Utils::Json& document,
    Model::RowVersion expected, const std::string& changeId)
{
    const Model::CallerId caller = ++this->lastCaller;
    Controllers::SectionEdit edit { .caller = caller,
        .team = Model::TeamId("bootstrap"),
        .section = section,
        .document = document,
        .expectedVersion = expected,
        .changeId = changeId };
    this->deliver(
        host, this->hosts[host]->life, [this, edit](DaemonCore& core) { core.editSection(edit, this->now()); });
    return caller;
}

void Fleet::drain(std::size_t host, std::size_t server, bool drained)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->life, [this, caller, server, drained](DaemonCore& core) {
        core.setDrained(caller, this->serverId(server), drained, this->now());
    });
}

const Controllers::AnswerDocument* Fleet::documentAnswer(Model::CallerId caller) const
{
    const auto found = this->documents.find(caller);
    return found == this->documents.end() ? nullptr : &found->second;
}

bool Fleet::logged(Utils::Event event) const
{
    return std::ranges::any_of(
        this->events, [&](const Controllers::LogEvent& logged) { return logged.event == event; });
}

void Fleet::healAndSettle(Duration duration)
{
    this->faults = {};
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        this->hosts[index]->cutFromPlatform = false;
        this->hosts[index]->cutFromPeers = false;
        this->hosts[index]->cutServers.clear();
        this->resume(index);
    }
    // Stops that are under way end before their hosts are replaced.
    this->advance(stopBound);
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
        this->start(index);
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        this->setFailsEverything(index, false);
        this->setSilent(index, false);
        if (!this->servers[index]->alive || this->servers[index]->state.isLeaving())
            this->restartServer(index);
    }
    this->advance(duration);
}

} // namespace WisteriaHill::Tests
