#include "support/schedulerbench.h"

#include "scheduling/placement.h"
#include "scheduling/rowcodec.h"

#include <algorithm>

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

namespace {

constexpr Duration tick { 10 };
constexpr Duration networkDelay { 2 };
constexpr Duration watchTimeout { 2000 }; ///< after the wait that the call asked for
constexpr const char* service = "scoring";
constexpr std::int64_t firstStart = 1'000'000; ///< of the servers, Unix milliseconds
constexpr Resources serverCapacity { .milliCores = 128'000, .memoryMb = 512'000, .accelerators = 8 };

std::shared_ptr<const FleetConfiguration> makeConfiguration()
{
    FleetConfiguration configuration { .version = 1 };
    const std::vector<std::string> names { "urgent", "ordinary", "background", "advised" };
    for (std::size_t priority = 0; priority < names.size(); ++priority)
        configuration.queues.push_back({ .name = names[priority],
            .host = "mill.example",
            .pathPrefix = "/" + names[priority] + "/",
            .service = service,
            .priority = static_cast<int>(priority),
            .maximumAttempts = 3,
            .stretchFactor = 3,
            .targetDuration = Duration(1000) });
    configuration.queues.back().advice = PlacementAdvice {
        .decisionTime = Duration(20), .timePerServer = Duration(1), .ticketValidity = Duration(3000)
    };
    configuration.services.push_back({ .name = service });
    configuration.accounts.push_back({ .name = "mill", .keys = { "key" }, .guaranteedAccelerators = 16 });
    configuration.accounts.push_back({ .name = "shop-a", .keys = { "a" }, .guaranteedAccelerators = 16 });
    configuration.accounts.push_back({ .name = "shop-b", .keys = { "b" }, .guaranteedAccelerators = 16 });
    return std::make_shared<const FleetConfiguration>(std::move(configuration));
}

} // namespace

StepSpecification makeStep(int count, std::int64_t accelerators, Duration work)
{
    return { .taskCount = count,
        .perTask = { .milliCores = 4000, .memoryMb = 16'000, .accelerators = accelerators },
        .estimate = work };
}

SchedulerBench::SchedulerBench(Options givenOptions)
    : options(givenOptions)
    , time(std::chrono::seconds(1000))
    , configuration(makeConfiguration())
{
    this->storeClock.addSample(StoreTime(1'000'000), this->time);
    for (int rack = 0; rack < this->options.racks; ++rack) {
        for (int position = 0; position < this->options.serversPerRack; ++position) {
            const std::string number = std::to_string(rack) + "-" + std::to_string(position);
            this->servers.push_back(std::make_unique<FakeServer>(
                ServerEntry { .id = "server-" + number,
                    .service = service,
                    .address = "10.0.0.1",
                    .port = 80,
                    .zone
                    = this->options.zones == 0 ? std::string() : "zone-" + std::to_string(rack % this->options.zones),
                    .rack = "rack-" + std::to_string(rack),
                    .machine = "machine-" + number,
                    .capacity = serverCapacity },
                firstStart));
            this->servers.back()->stopTime = this->options.stopTime;
            this->servers.back()->maximumLease = this->options.maximumLease;
            this->putEntry(*this->servers.back());
        }
    }
    for (int index = 0; index < this->options.daemons; ++index) {
        this->daemons.push_back(std::make_unique<Daemon>());
        this->startDaemon(static_cast<std::size_t>(index));
    }
}

FakeServer* SchedulerBench::findServer(const std::string& id)
{
    const auto found = std::ranges::find_if(this->servers, [&](const auto& server) { return server->entry.id == id; });
    return found == this->servers.end() ? nullptr : found->get();
}

void SchedulerBench::putEntry(const FakeServer& server)
{
    this->store.put({ serverTable, "", server.entry.id }, server.entry.draining ? "draining" : "ready");
}

void SchedulerBench::putEntryOfEarlierLife(const FakeServer& server)
{
    ServerEntry entry = server.entry;
    entry.id += "-earlier";
    entry.startedAt = server.startedAt - 1;
    this->earlierEntries[entry.id] = entry;
    this->store.put({ serverTable, "", entry.id }, "ready");
}

void SchedulerBench::removeEntry(const FakeServer& server) { this->store.remove({ serverTable, "", server.entry.id }); }

void SchedulerBench::submit(const std::string& id, const std::string& queue,
    const std::vector<StepSpecification>& steps, const std::string& account)
{
    const JobRecord record { .id = id,
        .host = "mill.example",
        .pathPrefix = "/" + queue + "/",
        .account = account,
        .acceptedAt = this->storeClock.at(this->time),
        .specification = { .payload = id, .steps = steps } };
    this->storeJob(record);
}

void SchedulerBench::storeJob(const JobRecord& record)
{
    this->submitted[record.id] = record;
    this->store.put({ StoreTable::jobs, StoreTable::intakePartition, record.id }, encodeJob(record));
}

void SchedulerBench::submitScheduled(const std::string& id, const std::vector<StepSpecification>& steps,
    int occurrences, Duration delay, Duration interval)
{
    JobRecord record { .id = id,
        .host = "mill.example",
        .pathPrefix = "/ordinary/",
        .account = "mill",
        .acceptedAt = this->storeClock.at(this->time) };
    record.specification = { .payload = id,
        .steps = steps,
        .occurrences = occurrences,
        .firstDue = this->storeClock.at(this->time) + delay,
        .interval = interval };
    this->storeJob(record);
}

void SchedulerBench::cancel(const std::string& id)
{
    this->store.put({ StoreTable::jobs, StoreTable::intakePartition, cancelKey(id) }, "cancel");
}

std::optional<JobState> SchedulerBench::storedState(const std::string& id) const
{
    const auto text = this->store.find({ StoreTable::states, StoreTable::schedulerPartition, id });
    return text ? decodeState(*text) : std::nullopt;
}

Duration SchedulerBench::runTimeOf(const TaskName& task) const
{
    const auto known = this->runTimes.find(task.jobId);
    if (known != this->runTimes.end())
        return known->second;
    return this->submitted.at(task.jobId).specification.steps.at(static_cast<std::size_t>(task.step)).estimate;
}

void SchedulerBench::answer(std::size_t daemon, std::function<void()> deliver, Duration delay)
{
    this->answers.push_back({ this->time + delay, daemon, this->daemons.at(daemon)->generation, std::move(deliver) });
}

void SchedulerBench::performEffects(std::size_t index)
{
    Daemon& daemon = *this->daemons.at(index);
    while (daemon.alive && !daemon.scheduler->pendingEffects().empty()) {
        Effect effect = daemon.scheduler->pendingEffects().pop();
        if (auto* commit = std::get_if<CommitCall>(&effect)) {
            const CommitResult result = this->commit(index, commit->transaction);
            const bool lost
                = std::holds_alternative<StoreError>(result) && std::get<StoreError>(result) == StoreError::Unknown;
            this->answer(
                index, [done = std::move(commit->done), result]() { done(result); },
                lost ? commit->timeout : networkDelay);
        } else if (auto* read = std::get_if<ReadCall>(&effect)) {
            ++this->storeReads;
            const ReadResult result = this->read(index, read->range);
            const bool lost
                = std::holds_alternative<StoreError>(result) && std::get<StoreError>(result) == StoreError::Unknown;
            this->answer(
                index, [done = std::move(read->done), result]() { done(result); }, lost ? read->timeout : networkDelay);
        } else if (auto* watch = std::get_if<WatchCall>(&effect)) {
            ++this->storeWatches[watch->table];
            this->watches.push_back({ this->time + watch->wait, index, daemon.generation, std::move(*watch) });
        } else if (const auto* advice = std::get_if<AdviceCall>(&effect)) {
            this->advise(index, *advice);
        } else if (const auto* upkeep = std::get_if<UpkeepCall>(&effect)) {
            if (this->holdsUpkeepCalls)
                this->heldUpkeeps.push_back({ index, daemon.generation, *upkeep });
            else
                this->performUpkeep(index, *upkeep);
        } else if (const auto* line = std::get_if<LogLine>(&effect)) {
            if (this->onLog)
                this->onLog(index, *line);
        } else if (auto* call = std::get_if<ServerCall>(&effect)) {
            const auto* poll = std::get_if<PollOrder>(&call->order);
            if (FakeServer* target = this->findServer(call->server.id);
                poll && target && !this->isCut(index, call->server.id))
                target->renewLease(*poll);
            if (poll && poll->wait.count() > 0)
                this->polls.push_back({ this->time + poll->wait, index, daemon.generation, std::move(*call) });
            else
                this->executeServerCall(index, std::move(*call));
        }
    }
}

void SchedulerBench::advise(std::size_t daemon, const AdviceCall& call)
{
    ++this->adviceCalls;
    if (this->advisor) {
        const FakeAdvisor::Decision decision = this->advisor->decide(call, this->time);
        const auto wait = std::chrono::duration_cast<Duration>(decision.at - this->time);
        const AdviceResult result
            = wait < call.timeout ? AdviceResult(decision.answer) : AdviceResult(AdviceError::NoAnswer);
        this->answer(
            daemon, [done = call.done, result]() { done(result); }, std::min(wait, call.timeout));
        return;
    }
    AdviceAnswer answer;
    for (const std::string& server : call.servers) {
        if (this->advisedServers.contains(server))
            answer.allowed.emplace_back(server, "ticket");
    }
    this->answer(
        daemon, [done = call.done, answer]() { done(answer); }, this->adviceDelay);
}

void SchedulerBench::requestUpkeep(
    std::int64_t wave, const std::vector<std::size_t>& indices, int maximumDown, Duration duration)
{
    UpkeepWave& requested = this->requestedWaves[wave];
    requested = { .number = wave, .duration = duration, .maximumDown = maximumDown };
    for (const std::size_t index : indices)
        requested.machines.push_back(this->server(index).entry.machine);
    this->store.put({ requestTable, "", "wave/" + std::to_string(wave) }, std::to_string(wave));
}

void SchedulerBench::evacuate(const std::string& zone)
{
    this->store.put({ requestTable, "", evacuationPrefix + zone }, "{}");
}

void SchedulerBench::takeBack(const std::string& zone)
{
    this->store.remove({ requestTable, "", evacuationPrefix + zone });
}

std::optional<std::string> SchedulerBench::waveStatus(std::int64_t wave) const
{
    return this->store.find({ "status", "", "wave/" + std::to_string(wave) });
}

void SchedulerBench::performUpkeep(std::size_t daemon, const UpkeepCall& call)
{
    if (call.token < this->highestUpkeepToken)
        this->recordedViolations.push_back("upkeep of " + call.machine + " was ordered under an outdated token");
    this->highestUpkeepToken = std::max(this->highestUpkeepToken, call.token);
    const auto found = std::ranges::find_if(
        this->servers, [&](const auto& server) { return server->entry.machine == call.machine; });
    if (!this->upkeepsDone[call.machine].contains(call.wave)) {
        this->upkeepsDone[call.machine].insert(call.wave);
        FakeServer& server = **found;
        if (!server.active.empty())
            this->recordedViolations.push_back(call.machine + " was taken down with runs on it");
        server.restart();
        server.alive = false;
        this->removeEntry(server);
        this->upkeepEnds[server.entry.id] = this->time + Duration(2000);
        this->maximumMachinesDown = std::max(this->maximumMachinesDown, static_cast<int>(this->upkeepEnds.size()));
    }
    this->answer(
        daemon, [done = call.done]() { done(UpkeepResult::Done); }, Duration(20));
}

void SchedulerBench::finishUpkeeps()
{
    std::erase_if(this->upkeepEnds, [&](const auto& entry) {
        if (this->time < entry.second)
            return false;
        FakeServer& server = *this->findServer(entry.first);
        server.alive = true;
        this->putEntry(server);
        return true;
    });
}

void SchedulerBench::answerWaitingCalls()
{
    std::vector<WaitingPoll> duePolls;
    std::erase_if(this->polls, [&](WaitingPoll& poll) {
        const FakeServer* target = this->findServer(poll.call.server.id);
        const auto& order = std::get<PollOrder>(poll.call.order);
        if (this->time < poll.until && !(target && target->hasEndAfter(order.acknowledged)))
            return false;
        duePolls.push_back(std::move(poll));
        return true;
    });
    for (WaitingPoll& poll : duePolls) {
        if (this->daemons.at(poll.daemon)->generation == poll.generation)
            this->executeServerCall(poll.daemon, std::move(poll.call));
    }
    std::vector<WaitingWatch> changed;
    std::erase_if(this->watches, [&](WaitingWatch& watch) {
        const WatchResult result = this->changes(watch.daemon, watch.call);
        const auto* page = std::get_if<RowPage>(&result);
        const auto* error = std::get_if<StoreError>(&result);
        const bool isEmpty = page && page->rows.empty();
        const bool isCutOff = error && *error == StoreError::Unknown && !this->store.silent;
        if ((this->time < watch.until && isEmpty) || (this->time < watch.until + watchTimeout && isCutOff))
            return false;
        changed.push_back(std::move(watch));
        return true;
    });
    for (WaitingWatch& watch : changed) {
        const WatchResult result = this->changes(watch.daemon, watch.call);
        if (this->daemons.at(watch.daemon)->generation == watch.generation)
            this->answer(
                watch.daemon, [done = std::move(watch.call.done), result]() { done(result); }, networkDelay);
    }
}

void SchedulerBench::checkInvariants()
{
    std::map<TaskName, int> running;
    std::set<TaskName> doneTasks;
    for (const auto& server : this->servers) {
        if (!server->alive)
            continue;
        Resources free = server->entry.capacity;
        for (const auto& [name, need] : server->needsOfActive())
            free -= need;
        if (server->enforcesCapacity && !free.holds({}))
            this->recordedViolations.push_back(server->entry.id + " is over its capacity");
        doneTasks.insert(server->done.begin(), server->done.end());
    }
    for (const auto& server : this->servers) {
        if (!server->alive)
            continue;
        for (const auto& [name, task] : server->active) {
            if (++running[name] == 2)
                this->recordedViolations.push_back(formatTaskName(name) + " runs twice at the same time");
            if (doneTasks.contains(name) && !this->seenAttempts[name].contains(task.attempt))
                this->recordedViolations.push_back(formatTaskName(name) + " was started after it was done");
            this->seenAttempts[name].insert(task.attempt);
        }
    }
}

void SchedulerBench::runTick()
{
    this->time += tick;
    this->deadly.check(this->servers, this->time);
    for (const auto& server : this->servers)
        server->advance(tick);
    this->finishUpkeeps();
    this->carryOutLateCalls();
    this->answerWaitingCalls();
    std::vector<PendingAnswer> due;
    std::erase_if(this->answers, [&](PendingAnswer& pending) {
        if (pending.at > this->time || this->daemons.at(pending.daemon)->paused)
            return false;
        due.push_back(std::move(pending));
        return true;
    });
    for (const PendingAnswer& pending : due) {
        Daemon& daemon = *this->daemons.at(pending.daemon);
        if (!daemon.alive || daemon.generation != pending.generation)
            continue;
        pending.deliver();
        daemon.scheduler->react(this->time);
        this->performEffects(pending.daemon);
    }
    this->exchangeHeartbeats();
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        Daemon& daemon = *this->daemons[index];
        if (!daemon.alive || daemon.paused)
            continue;
        daemon.scheduler->tick(this->time, this->storeClock.at(this->time));
        this->performEffects(index);
    }
    this->endStoppedDaemons();
    this->gangWatch.check(this->servers, this->submitted, this->time);
    if (this->options.checksInvariants)
        this->checkInvariants();
}

void SchedulerBench::run(Duration duration)
{
    const SteadyTime end = this->time + duration;
    while (this->time < end)
        this->runTick();
}

bool SchedulerBench::runUntil(const std::string& id, JobState state, Duration limit)
{
    const SteadyTime end = this->time + limit;
    while (this->storedState(id) != state) {
        if (this->time >= end)
            return false;
        this->runTick();
    }
    return true;
}

int SchedulerBench::activeTasks(const std::string& id) const
{
    int active = 0;
    for (const auto& server : this->servers) {
        for (const auto& [name, task] : server->active)
            active += server->alive && name.jobId == id && !task.stopping ? 1 : 0;
    }
    return active;
}

bool SchedulerBench::runUntilActive(const std::string& id, int tasks, Duration limit)
{
    const SteadyTime end = this->time + limit;
    while (this->activeTasks(id) < tasks) {
        if (this->time >= end)
            return false;
        this->runTick();
    }
    return true;
}

int SchedulerBench::startsOf(const std::string& id) const
{
    int starts = 0;
    for (const auto& [name, attempts] : this->seenAttempts)
        starts += name.jobId == id ? static_cast<int>(attempts.size()) : 0;
    return starts;
}

FakeServer& SchedulerBench::serverRunning(const std::string& id)
{
    for (const auto& server : this->servers) {
        for (const auto& [name, task] : server->active) {
            if (name.jobId == id)
                return *server;
        }
    }
    throw std::logic_error("no server runs a task of " + id);
}

} // namespace WisteriaHill::TestSupport
