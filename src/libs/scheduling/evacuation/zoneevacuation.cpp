#include "scheduling/evacuation/zoneevacuation.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Evacuation {

using Utils::Event;

namespace {

/// A run that ends by itself within this time is not moved. Its client would get its result no sooner.
constexpr Duration awaitedEnd { 30'000 };

} // namespace

ZoneEvacuation::ZoneEvacuation(Board& board, Effects& effects, JobTracker& tracker, const ServerEvacuation& servers,
    ZoneEvacuationOptions givenOptions)
    : board(board)
    , effects(effects)
    , tracker(tracker)
    , servers(servers)
    , options(std::move(givenOptions))
{
    this->board.evacuatedZones = EvacuatedZones(this->options.bound);
}

void ZoneEvacuation::begin()
{
    this->board.evacuatedZones.begin();
    this->begunAt.clear();
    this->moving.clear();
    this->outdated = false;
}

void ZoneEvacuation::logChange(Event event, const std::string& zone, SteadyTime now)
{
    std::size_t count = 0;
    std::size_t runs = 0;
    for (const auto& [id, server] : this->board.servers) {
        if (server.zone != zone || !server.present)
            continue;
        ++count;
        runs += server.occupants.size();
    }
    const SteadyTime begun = this->begunAt.at(zone);
    this->effects.log(event,
        { { "zone", zone }, { "servers", count }, { "runs", runs },
            { "readAgeMs", this->board.evacuatedZones.age(now).value_or(Duration(0)).count() },
            { "evacuatedMs", std::chrono::duration_cast<Duration>(now - begun).count() } });
}

void ZoneEvacuation::handleRequests(const std::vector<Row>& rows, SteadyTime readAt, SteadyTime now)
{
    if (!this->isEnabled())
        return;
    std::set<std::string> requested;
    for (const Row& row : rows) {
        if (std::optional<std::string> zone = this->options.decode(row))
            requested.insert(std::move(*zone));
    }
    const EvacuatedZones::Changes changes = this->board.evacuatedZones.update(std::move(requested), readAt);
    for (const std::string& zone : changes.begun) {
        this->begunAt[zone] = now;
        this->logChange(Event::ZoneEvacuationBegun, zone, now);
    }
    for (const std::string& zone : changes.takenBack) {
        this->logChange(Event::ZoneTakenBack, zone, now);
        this->begunAt.erase(zone);
    }
    this->reportAge(now);
    this->changed = this->changed || !changes.begun.empty() || !changes.takenBack.empty();
}

void ZoneEvacuation::reportAge(SteadyTime now)
{
    const bool isOutdated = this->board.evacuatedZones.isOutdated(now);
    if (isOutdated == this->outdated)
        return;
    this->outdated = isOutdated;
    this->changed = true;
    const std::optional<Duration> age = this->board.evacuatedZones.age(now);
    this->effects.log(isOutdated ? Event::EvacuationsUnknown : Event::EvacuationsKnown,
        { { "readAgeMs", age ? Utils::Json(age->count()) : Utils::Json() },
            { "zones", this->board.evacuatedZones.all().size() } });
}

bool ZoneEvacuation::shouldMove(const TaskName& name, const Task& task, SteadyTime now) const
{
    if (!task.run || task.run->phase != RunPhase::Active)
        return false;
    const StepSpecification& step = this->board.stepOf(name);
    // The members of a gang would wait for room for all of them, and only the advice knows which servers may run the
    // task.
    if (step.gang || this->board.jobs.at(name.jobId).queue->advice)
        return false;
    if (step.longRunning)
        return this->servers.mayStopAnother(name);
    return step.savesProgress && step.dataRack.empty()
        && !this->servers.endsBefore(name, *task.run, now + awaitedEnd, now);
}

std::vector<TaskName> ZoneEvacuation::candidates(SteadyTime now) const
{
    std::vector<TaskName> found;
    for (const auto& [id, server] : this->board.servers) {
        if (!this->board.evacuatedZones.contains(server.zone) || server.draining || server.unansweredPolls > 0)
            continue;
        for (const auto& [name, need] : server.occupants) {
            const auto job = this->board.jobs.find(name.jobId);
            if (job == this->board.jobs.end() || job->second.ended() || !job->second.queue)
                continue;
            const Task* task = this->board.findTask(name);
            if (task && task->run && task->run->server == id && this->shouldMove(name, *task, now))
                found.push_back(name);
        }
    }
    return found;
}

std::vector<ZoneEvacuation::Room> ZoneEvacuation::roomElsewhere(const Usable& usable, SteadyTime now) const
{
    std::vector<Room> room;
    for (const auto& [id, server] : this->board.servers) {
        if (usable(server) && now >= server.avoidUntil)
            room.push_back({ .server = &server, .free = server.freeCapacity(), .reserved = {} });
    }
    return room;
}

bool ZoneEvacuation::holdsAnother(const Room& room, const TaskName& name, const StepSpecification& step)
{
    if (step.maximumPerServer <= 0)
        return true;
    const auto isOfStep = [&](const TaskName& other) {
        return other.jobId == name.jobId && other.occurrence == name.occurrence && other.step == name.step;
    };
    const auto there = std::ranges::count_if(room.server->occupants, isOfStep,
                           [](const auto& entry) -> const TaskName& { return entry.first; })
        + std::ranges::count_if(room.reserved, isOfStep);
    return there < step.maximumPerServer;
}

bool ZoneEvacuation::reserve(std::vector<Room>& room, const TaskName& name) const
{
    const Job& job = this->board.jobs.at(name.jobId);
    const StepSpecification& step = this->board.stepOf(name);
    const Resources need = countedNeed(step);
    const auto fits = std::ranges::find_if(room, [&](const Room& candidate) {
        return job.queue && candidate.server->service == job.queue->service && candidate.free.holds(need)
            && hasRequiredLabel(candidate.server->labels, step) && holdsAnother(candidate, name, step);
    });
    if (fits == room.end())
        return false;
    fits->free -= need;
    fits->reserved.push_back(name);
    return true;
}

std::set<std::string> ZoneEvacuation::servicesWithWaitingTasks() const
{
    std::set<std::string> services;
    for (const auto& [id, job] : this->board.jobs) {
        if (job.ended() || !job.queue || services.contains(job.queue->service))
            continue;
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                const Step& step = occurrence.steps[number];
                if (!step.ready || step.done + step.running >= static_cast<int>(step.tasks.size()))
                    continue;
                for (std::size_t task = 0; task < step.tasks.size(); ++task) {
                    const TaskName name { id, index, static_cast<int>(number), static_cast<int>(task) };
                    if (step.tasks[task].phase == TaskPhase::Waiting && !this->moving.contains(name))
                        services.insert(job.queue->service);
                }
            }
        }
    }
    return services;
}

void ZoneEvacuation::forgetArrived()
{
    std::erase_if(this->moving, [&](const TaskName& name) {
        const auto job = this->board.jobs.find(name.jobId);
        const Task* task = job == this->board.jobs.end() || job->second.ended() ? nullptr : this->board.findTask(name);
        if (!task || task->phase == TaskPhase::Done)
            return true;
        return task->run && task->run->phase != RunPhase::Stopping;
    });
}

void ZoneEvacuation::tick(const Usable& usable, SteadyTime now)
{
    this->reportAge(now);
    if (this->board.evacuatedZones.all().empty())
        return;
    this->forgetArrived();
    const std::vector<TaskName> names = this->candidates(now);
    if (names.empty())
        return;
    std::vector<Room> room = this->roomElsewhere(usable, now);
    for (const TaskName& name : this->moving)
        this->reserve(room, name);
    const std::set<std::string> busyServices = this->servicesWithWaitingTasks();
    for (const TaskName& name : names) {
        const Task& task = *this->board.findTask(name);
        // The stop of another task may leave the step with as few as it may have.
        if (busyServices.contains(this->board.jobs.at(name.jobId).queue->service) || !this->shouldMove(name, task, now)
            || !this->reserve(room, name))
            continue;
        this->effects.log(Event::RunMovedOut,
            { { "task", formatTaskName(name) }, { "attempt", task.run->attempt }, { "server", task.run->server },
                { "percent", task.run->percent }, { "longRunning", this->board.stepOf(name).longRunning } });
        this->moving.insert(name);
        this->tracker.requestStop(name, "its zone is evacuated", now);
    }
}

} // namespace WisteriaHill::Scheduling::Evacuation
