#include "support/fleetparts.h"

#include "utils/result.h"

#include <algorithm>

namespace WisteriaHill::Tests {

namespace {

using Controllers::DaemonCore;

constexpr Duration tickInterval { 50 };
constexpr std::uint16_t firstPeerPort = 9000;
constexpr std::uint64_t largestDelayMs = 4;
constexpr Duration stopBound { 30'000 };
constexpr std::uint32_t accelerators = 8;

Duration parsePeriod(const Utils::Json& policy)
{
    return Utils::parseDuration(policy.at("leasePeriod").get<std::string>()).value();
}

} // namespace

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
    host.generation = ++this->lastGeneration;
    host.paused = false;
    host.exited = false;
    host.revision = 0;
    host.deferred.clear();
    this->scheduleTick(index, host.generation);
}

void Fleet::kill(std::size_t index)
{
    Host& host = *this->hosts[index];
    host.core.reset();
    host.paused = false;
    host.deferred.clear();
    this->facts.recordHostLoss(host.openCallers);
    host.openCallers.clear();
}

void Fleet::pause(std::size_t index) { this->hosts[index]->paused = this->hosts[index]->core != nullptr; }

void Fleet::resume(std::size_t index)
{
    Host& host = *this->hosts[index];
    if (!std::exchange(host.paused, false))
        return;
    const std::deque<Input> deferred = std::exchange(host.deferred, {});
    for (const Input& input : deferred)
        this->applyInput(index, input);
    this->scheduleTick(index, host.generation);
}

void Fleet::stopGracefully(std::size_t index)
{
    this->applyInput(index, [this](DaemonCore& core) { core.beginStop(this->now()); });
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

void Fleet::scheduleTick(std::size_t index, std::uint64_t generation)
{
    this->queue.after(tickInterval, [this, index, generation]() {
        Host& host = *this->hosts[index];
        if (!host.core || host.generation != generation || host.paused)
            return;
        this->applyInput(index, [this](DaemonCore& core) { core.tick(this->now()); });
        this->scheduleTick(index, generation);
    });
}

void Fleet::applyInput(std::size_t index, const Input& input)
{
    Host& host = *this->hosts[index];
    if (!host.core)
        return;
    input(*host.core);
    this->checkRevision(index);
    this->performEffects(index);
}

void Fleet::checkRevision(std::size_t index)
{
    Host& host = *this->hosts[index];
    const auto& configuration = host.core->state().configuration;
    const Model::Revision revision = configuration ? configuration->revision : 0;
    if (revision < host.revision)
        this->facts.addViolation("host" + std::to_string(index) + " went back from configuration revision "
            + std::to_string(host.revision) + " to " + std::to_string(revision));
    host.revision = revision;
}

void Fleet::deliver(std::size_t index, std::uint64_t generation, Input input)
{
    Host& host = *this->hosts[index];
    if (!host.core || host.generation != generation)
        return;
    if (host.paused)
        host.deferred.push_back(std::move(input));
    else
        this->applyInput(index, input);
}

void Fleet::performEffects(std::size_t index)
{
    Host& host = *this->hosts[index];
    const std::uint64_t generation = host.generation;
    for (const Controllers::Effect& effect : host.core->takeEffects()) {
        std::visit([&](const auto& known) { this->perform(index, known); }, effect);
        if (!host.core || host.generation != generation)
            return;
    }
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
    ++server.generation;
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
    this->facts.recordRequest(caller, body, key);
    if (!this->hosts[host]->core) {
        this->facts.recordHostLoss({ caller });
        return caller;
    }
    this->hosts[host]->openCallers.insert(caller);
    Model::CallerRequest request { .account = Model::ClientAccountId(account),
        .service = Model::ServiceId(key.empty() ? "score" : "reprice"),
        .body = body,
        .idempotencyKey = key };
    this->deliver(host, this->hosts[host]->generation,
        [this, caller, request](DaemonCore& core) { core.submitRequest(caller, request, this->now()); });
    return caller;
}

Model::CallerId Fleet::job(std::size_t host, const Model::JobSpecification& specification)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->generation,
        [this, caller, specification](DaemonCore& core) { core.submitJob(caller, specification, this->now()); });
    return caller;
}

Model::CallerId Fleet::cancelJob(std::size_t host, const Model::JobId& job)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->generation, [this, caller, job](DaemonCore& core) {
        core.cancelJob(caller, Model::ClientAccountId("large"), job, this->now());
    });
    return caller;
}

Model::CallerId Fleet::describeJob(std::size_t host, const Model::JobId& job)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->generation, [this, caller, job](DaemonCore& core) {
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
        host, this->hosts[host]->generation, [this, edit](DaemonCore& core) { core.editSection(edit, this->now()); });
    return caller;
}

void Fleet::drain(std::size_t host, std::size_t server, bool drained)
{
    const Model::CallerId caller = ++this->lastCaller;
    this->deliver(host, this->hosts[host]->generation, [this, caller, server, drained](DaemonCore& core) {
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
    // Graceful stops in progress end before their hosts are started again.
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
