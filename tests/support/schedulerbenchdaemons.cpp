// The daemons of a SchedulerBench; the rest of it is in schedulerbench.cpp.

#include "support/schedulerbench.h"

#include "scheduling/boarddump.h"

#include <algorithm>
#include <utility>

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

namespace {

constexpr Duration heartbeatInterval { 200 };
constexpr Duration stopBound { 5000 };

} // namespace

void SchedulerBench::startDaemon(std::size_t index)
{
    Daemon& daemon = *this->daemons.at(index);
    daemon.generation = ++this->lastGeneration;
    daemon.alive = true;
    daemon.paused = false;
    daemon.stopsAt.reset();
    SchedulerOptions schedulerOptions { .leadership = { .node = "daemon-" + std::to_string(index),
                                            .incarnation = daemon.generation,
                                            .stagger = Duration(20 * static_cast<std::int64_t>(index)) },
        .servers = { .maximumLease = this->options.maximumLease, .stopTime = this->options.stopTime },
        .requests = { .range = { .table = requestTable },
            .interval = this->options.evacuationBound.count() > 0 ? Duration(1500) : Duration(2000),
            .retryPause = this->options.evacuationBound.count() > 0 ? Duration(500) : Duration(2000) },
        .evacuations = { .bound = this->options.evacuationBound,
            .decode = [](const Row& row) -> std::optional<std::string> {
                const std::string prefix = evacuationPrefix;
                return row.key.key.starts_with(prefix) ? std::optional(row.key.key.substr(prefix.size()))
                                                       : std::nullopt;
            } },
        .upkeep = { .wavePrefix = "wave/",
            .statusTable = "status",
            .decodeWave = [this](const Row& row) -> std::optional<UpkeepWave> {
                return this->requestedWaves.at(std::stoll(row.value));
            },
            .encodeStatus = [](bool completed) -> std::string { return completed ? "completed" : "running"; } },
        .serverTable = serverTable };
    daemon.scheduler = std::make_unique<Scheduler>(
        schedulerOptions,
        [this](const Row& row) -> std::optional<ServerEntry> {
            if (const auto earlier = this->earlierEntries.find(row.key.key); earlier != this->earlierEntries.end())
                return earlier->second;
            if (const std::size_t number = row.value.find(' '); number != std::string::npos)
                return this->writtenEntries.at(std::stoul(row.value.substr(number)));
            const FakeServer* found = this->findServer(row.key.key);
            if (!found || row.value.empty())
                return std::nullopt;
            ServerEntry entry = found->entry;
            entry.startedAt = found->startedAt;
            entry.draining = row.value == "draining";
            return entry;
        },
        [this]() { return this->time; }, this->storeClock);
    daemon.scheduler->setConfiguration(this->configuration);
}

void SchedulerBench::setConfiguration(FleetConfiguration next)
{
    next.version = this->configuration->version + 1;
    this->configuration = std::make_shared<const FleetConfiguration>(std::move(next));
    for (const auto& daemon : this->daemons) {
        if (daemon->alive)
            daemon->scheduler->setConfiguration(this->configuration);
    }
}

Queue SchedulerBench::removeQueue(const std::string& name)
{
    FleetConfiguration next = *this->configuration;
    const auto found = std::ranges::find(next.queues, name, &Queue::name);
    Queue queue = *found;
    next.queues.erase(found);
    this->setConfiguration(std::move(next));
    return queue;
}

void SchedulerBench::addQueue(const Queue& queue)
{
    FleetConfiguration next = *this->configuration;
    next.queues.push_back(queue);
    this->setConfiguration(std::move(next));
}

FakeAdvisor& SchedulerBench::useAdvisor(const PlacementAdvice& figures)
{
    this->advisor.emplace();
    this->advisor->figures = figures;
    this->advisor->lifeOf = [this](const std::string& id) {
        const FakeServer* known = this->findServer(id);
        return known ? known->startedAt : 0;
    };
    this->announceAdvice(figures);
    return *this->advisor;
}

void SchedulerBench::announceAdvice(const PlacementAdvice& figures)
{
    FleetConfiguration next = *this->configuration;
    const auto advised = std::ranges::find(next.queues, "advised", &Queue::name);
    advised->advice = figures;
    this->setConfiguration(std::move(next));
}

const std::optional<PlacementAdvice>& SchedulerBench::announcedAdvice() const
{
    return std::ranges::find(this->configuration->queues, "advised", &Queue::name)->advice;
}

void SchedulerBench::putEntryAsOfNow(const FakeServer& server)
{
    ServerEntry entry = server.entry;
    entry.startedAt = server.startedAt;
    this->storeEntry(entry);
}

void SchedulerBench::storeEntry(const ServerEntry& entry)
{
    this->store.put({ serverTable, "", entry.id }, "entry " + std::to_string(this->writtenEntries.size()));
    this->writtenEntries.push_back(entry);
}

void SchedulerBench::setServices(const std::vector<std::string>& names)
{
    FleetConfiguration next = *this->configuration;
    next.services.clear();
    for (const std::string& name : names)
        next.services.push_back({ .name = name });
    this->setConfiguration(std::move(next));
}

void SchedulerBench::beginStop(std::size_t index)
{
    Daemon& daemon = *this->daemons.at(index);
    daemon.stopsAt = this->time + stopBound;
    daemon.scheduler->releaseLeadership([this, &daemon]() { daemon.stopsAt = this->time; });
    this->performEffects(index);
}

void SchedulerBench::endStoppedDaemons()
{
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        const Daemon& daemon = *this->daemons[index];
        if (daemon.alive && daemon.stopsAt && *daemon.stopsAt <= this->time)
            this->killDaemon(index);
    }
}

void SchedulerBench::stopDaemon(std::size_t index)
{
    this->beginStop(index);
    while (this->isAlive(index))
        this->runTick();
}

void SchedulerBench::killDaemon(std::size_t index)
{
    this->daemons.at(index)->alive = false;
    this->daemons.at(index)->scheduler.reset();
}

void SchedulerBench::exchangeHeartbeats()
{
    if (this->time.time_since_epoch() % heartbeatInterval != std::chrono::nanoseconds(0))
        return;
    const auto canExchange
        = [this](std::size_t index) { return this->daemons[index]->alive && !this->daemons[index]->paused; };
    for (std::size_t sender = 0; sender < this->daemons.size(); ++sender) {
        if (!canExchange(sender))
            continue;
        Scheduler& from = *this->daemons[sender]->scheduler;
        const Leadership& leading = std::as_const(from).leadership();
        const std::vector<ReportedSuccess> successes = from.successesToReport(this->time);
        for (std::size_t receiver = 0; receiver < this->daemons.size(); ++receiver) {
            if (!canExchange(receiver) || receiver == sender || this->isCut(sender, BenchLinks::daemon(receiver)))
                continue;
            Scheduler& to = *this->daemons[receiver]->scheduler;
            if (leading.isLeader())
                to.leadership().handleLeaderHeartbeat(leading.leaderNode(), leading.term(), this->time);
            to.leadership().handlePeerHeartbeat(
                "daemon-" + std::to_string(sender), leading.isLeader(), leading.knownTerm(), this->time);
            to.applySuccesses(successes, this->time);
        }
    }
}

Utils::Json SchedulerBench::explain(const std::string& id) const
{
    return explainJob(*this->daemons.at(this->leader())->scheduler, id, this->time);
}

std::size_t SchedulerBench::leader() const
{
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        const Daemon& daemon = *this->daemons[index];
        if (daemon.alive && !daemon.paused && daemon.scheduler->isActive())
            return index;
    }
    return this->daemons.size();
}

std::size_t SchedulerBench::successorOf(std::size_t former) const
{
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        const Daemon& daemon = *this->daemons[index];
        if (index != former && daemon.alive && !daemon.paused && daemon.scheduler->isActive())
            return index;
    }
    return this->daemons.size();
}

} // namespace WisteriaHill::TestSupport
