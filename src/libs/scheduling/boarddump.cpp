#include "scheduling/boarddump.h"

#include "scheduling/placement.h"
#include "scheduling/placement/speedchoice.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling {

namespace {

using Utils::Json;

/// Waiting steps are reported about once per second.
constexpr Duration recentReportPeriod { 3000 };

std::int64_t ageMs(SteadyTime since, SteadyTime now)
{
    return std::chrono::duration_cast<Duration>(now - since).count();
}

Json resourcesToJson(const Resources& resources)
{
    return { { "milliCores", resources.milliCores }, { "memoryMb", resources.memoryMb },
        { "accelerators", resources.accelerators } };
}

std::string phaseName(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Recording:
        return "its record is being stored";
    case RunPhase::Ordered:
        return "its start was ordered";
    case RunPhase::Active:
        return "running";
    case RunPhase::Stopping:
        return "being stopped";
    }
    return "unknown";
}

/// What is known of the speed of a server's machine; null while the machines of its service are not proved to differ.
Json speedToJson(const Board& board, const BackendServer& server)
{
    if (!board.speeds.differ(server.service))
        return nullptr;
    const Estimates::SpeedEstimate speed = board.speeds.of(server.service, server.speedKey());
    Json json { { "class", Estimates::speedClassName(board.speeds.classOf(server.service, server.speedKey())) } };
    if (speed.isKnown()) {
        json["slownessPercent"] = std::lround(speed.slowness * 100);
        json["deviation"] = speed.deviation;
        json["runs"] = std::lround(speed.runs);
    }
    return json;
}

Json serverToJson(const Board& board, const BackendServer& server, SteadyTime now)
{
    return { { "id", server.address.id }, { "address", server.address.address }, { "machine", server.machine },
        { "rack", server.rack }, { "zone", server.zone },
        { "zoneEvacuated", board.evacuatedZones.contains(server.zone) }, { "service", server.service },
        { "present", server.present }, { "draining", server.draining }, { "incarnation", server.incarnation },
        { "failedLooks", server.unansweredPolls }, { "avoided", now < server.avoidUntil },
        { "runs", server.occupants.size() }, { "free", resourcesToJson(server.freeCapacity()) },
        { "speed", speedToJson(board, server) } };
}

Json taskToJson(const Board& board, const TaskName& name, const Task& task, SteadyTime now)
{
    Json json { { "task", formatTaskName(name) }, { "attempts", task.attempts }, { "failures", task.failures } };
    if (task.crashes > 0) {
        json["serverCrashes"] = task.crashes;
        json["suspicion"] = task.suspicion;
    }
    if (!task.run) {
        json["state"] = task.phase == TaskPhase::Done ? "done" : "waiting";
        if (task.phase == TaskPhase::Waiting)
            json["waitingMs"] = ageMs(task.waitingSince, now);
        if (now < task.heldUntil)
            json["heldMs"] = ageMs(now, task.heldUntil);
        return json;
    }
    json["state"] = phaseName(task.run->phase);
    json["server"] = task.run->server;
    if (const auto server = board.servers.find(task.run->server); server != board.servers.end())
        json["speed"] = speedToJson(board, server->second);
    json["incarnation"] = task.run->incarnation;
    json["percent"] = task.run->percent;
    json["sinceMs"] = ageMs(task.run->phaseSince, now);
    if (!task.run->stopReason.empty())
        json["stopReason"] = task.run->stopReason;
    return json;
}

/// The fewest servers that a start of the step takes: one, or for a gang as many as hold all of its tasks when they are
/// empty. Precondition: `couldHold` is true of at least one server.
template <typename Predicate>
std::size_t fewestServers(const Board& board, const StepSpecification& wanted, const Predicate& couldHold)
{
    if (!wanted.gang)
        return 1;
    std::size_t most = 1;
    for (const auto& entry : board.servers) {
        if (couldHold(entry))
            most = std::max(most, countFitting(entry.second.capacity, wanted, wanted.taskCount));
    }
    return (static_cast<std::size_t>(wanted.taskCount) + most - 1) / most;
}

/// Why tasks of a step are waiting, as a text for operators.
std::string waitReason(
    const Scheduler& scheduler, const Job& job, const Step& step, const StepSpecification& wanted, SteadyTime now)
{
    const Board& board = scheduler.state();
    const Queue* queue = job.queue;
    if (!queue)
        return "its queue is not in the configuration in force";
    if (!step.ready)
        return "its prerequisite steps are not done";
    const auto isHeld = [&](const Task& task) { return task.phase == TaskPhase::Waiting && now < task.heldUntil; };
    if (std::ranges::any_of(step.tasks, isHeld))
        return "backend servers crashed under it, or may have; it starts apart from other suspects";
    if (wanted.gang && step.running > 0)
        return "members of the gang's last attempt have not ended";
    const auto couldHold = [&](const auto& entry) {
        const BackendServer& server = entry.second;
        return server.present && !board.evacuatedZones.contains(server.zone) && server.service == queue->service
            && server.capacity.holds(wanted.perTask) && hasRequiredLabel(server.labels, wanted);
    };
    const auto capable = std::ranges::count_if(board.servers, couldHold);
    if (board.evacuatedZones.isOutdated(now))
        return "the requests to evacuate zones have not been read for too long";
    if (capable == 0 && !board.evacuatedZones.all().empty())
        return "no backend server outside the evacuated zones has the capacity and the label that a task needs";
    if (capable == 0)
        return "no backend server of " + queue->service + " has the capacity and the label that one of its tasks needs";
    if (queue->advice) {
        const std::string obstacle = scheduler.ticketObstacle(*queue, fewestServers(board, wanted, couldHold), now);
        if (!obstacle.empty())
            return "its tickets cannot be used: " + obstacle;
    }
    const auto withFreeCapacity = std::ranges::count_if(board.servers,
        [&](const auto& entry) { return couldHold(entry) && entry.second.freeCapacity().holds(wanted.perTask); });
    const std::string counts = std::to_string(capable) + " backend servers could hold a task, "
        + std::to_string(withFreeCapacity) + " have free capacity now; ";
    const bool isReported = step.waitReportedAt >= step.turnSince && now - step.waitReportedAt < recentReportPeriod;
    if (!isReported || withFreeCapacity == 0)
        return counts + "more urgent or earlier work goes first";
    return counts + "what kept it from most of them " + std::to_string(ageMs(step.waitReportedAt, now))
        + " ms ago: " + waitReasonName(step.waitReason);
}

} // namespace

Json dumpScheduler(const Scheduler& scheduler, SteadyTime now)
{
    const Board& board = scheduler.state();
    Json json { { "leading", scheduler.isActive() }, { "leader", scheduler.leadership().leaderNode() },
        { "term", scheduler.leadership().knownTerm() },
        { "configuration", board.configuration ? board.configuration->version : 0 }, { "servers", Json::array() },
        { "jobs", Json::array() } };
    for (const auto& [id, server] : board.servers)
        json["servers"].push_back(serverToJson(board, server, now));
    for (const auto& [id, job] : board.jobs)
        json["jobs"].push_back({ { "job", id }, { "state", jobStateName(job.state) }, { "account", job.record.account },
            { "queue", job.record.pathPrefix }, { "ageMs", ageMs(job.acceptedAt, now) } });
    return json;
}

Json explainJob(const Scheduler& scheduler, const std::string& jobId, SteadyTime now)
{
    const auto found = scheduler.state().jobs.find(jobId);
    if (found == scheduler.state().jobs.end())
        return nullptr;
    const Job& job = found->second;
    Json json { { "job", jobId }, { "state", jobStateName(job.state) },
        { "storedState", jobStateName(job.storedState) }, { "account", job.record.account },
        { "queue", job.record.pathPrefix }, { "ageMs", ageMs(job.acceptedAt, now) }, { "steps", Json::array() } };
    for (const auto& [index, occurrence] : job.occurrences) {
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
            const Step& step = occurrence.steps[number];
            const StepSpecification& wanted = job.record.specification.steps[number];
            Json tasks = Json::array();
            for (std::size_t position = 0; position < step.tasks.size(); ++position)
                tasks.push_back(taskToJson(scheduler.state(),
                    { jobId, index, static_cast<int>(number), static_cast<int>(position) }, step.tasks[position], now));
            Json entry { { "occurrence", index }, { "step", number }, { "tasks", std::move(tasks) } };
            if (!job.ended() && step.done + step.running < static_cast<int>(step.tasks.size()))
                entry["waitsFor"] = waitReason(scheduler, job, step, wanted, now);
            json["steps"].push_back(std::move(entry));
        }
    }
    return json;
}

} // namespace WisteriaHill::Scheduling
