#include "scheduling/estimates/speedlearner.h"

#include <algorithm>
#include <cmath>

namespace WisteriaHill::Scheduling::Estimates {

using Utils::Event;

namespace {

constexpr int fullPace = 100; ///< percent
/// A start that is confirmed later than this after its order may have begun at any time between.
constexpr Duration promptStart { 250 };
/// Uncertainty of the times at which members of a gang begin and end.
constexpr double gangMilliseconds = 80;
/// Log lines about classes in a period.
constexpr int maximumReports = 20;
constexpr Duration reportPeriod { 10'000 };

const StepSpecification& specificationOf(const Job& job, const TaskName& name)
{
    return job.record.specification.steps.at(static_cast<std::size_t>(name.step));
}

const Step& stepOf(const Job& job, const TaskName& name)
{
    return job.occurrences.at(name.occurrence).steps.at(static_cast<std::size_t>(name.step));
}

ServerTime toServerTime(const BackendServer& server, SteadyTime time)
{
    return server.clock - std::chrono::duration_cast<ServerTime>(server.clockReadAt - time);
}

} // namespace

void SpeedLearner::progressed(const BackendServer& server, const TaskName& name, Run& run, int percent, SteadyTime now)
{
    RunObservation& observation = run.observation;
    if (percent <= run.percent || (observation.isExamined && !observation.isComparable))
        return;
    Job& job = this->board.jobs.at(name.jobId);
    if (!observation.isExamined) {
        observation.isExamined = true;
        observation.isComparable = this->isComparable(server, job, name, run);
        if (const std::optional<SteadyTime> since = this->workSince(job, name, run))
            observation.progress.begin(toServerTime(server, *since));
    }
    if (!observation.isComparable || run.pace != fullPace || run.phase != RunPhase::Active)
        return;
    if (const std::optional<RunTimeReading> reading = observation.progress.add(server.clock, percent))
        this->learn(server, job, name, run, *reading, now);
}

void SpeedLearner::ended(const BackendServer& server, Job& job, const TaskName& name, Run& run, SteadyTime now)
{
    const std::optional<Duration> ran = run.ranFor(now);
    const StepSpecification& specification = specificationOf(job, name);
    if (!ran || !job.queue || specification.longRunning)
        return;
    this->effects.push(
        RunMeasurement { .queue = job.record.pathPrefix, .ran = *ran, .declared = specification.estimate });
    if (!this->isComparable(server, job, name, run))
        return;
    if (specification.gang) {
        this->learnMembers(job, name, run, now);
    } else if (server.pollMayWait && run.pace == fullPace) {
        // An end that its server had to list at once may be as old as the last answer.
        if (!run.observation.isExamined) {
            run.observation.isExamined = run.observation.isComparable = true;
            if (const std::optional<SteadyTime> since = this->workSince(job, name, run))
                run.observation.progress.begin(toServerTime(server, *since));
        }
        if (const std::optional<RunTimeReading> reading = run.observation.progress.end(server.clock))
            this->learn(server, job, name, run, *reading, now);
    }
    this->learnRunTime(server, job, name, *ran);
}

bool SpeedLearner::isComparable(const BackendServer& server, const Job& job, const TaskName& name, const Run& run) const
{
    // Run times are not learned from a run that started from a checkpoint, ran outside its data rack, or belongs to a
    // same-rack step that spans racks: its run time says little about those of others. Neither does that of a task that
    // serves users or gets what others leave.
    const StepSpecification& specification = specificationOf(job, name);
    if (!job.queue || specification.longRunning || !run.checkpoint.empty()
        || (!specification.dataRack.empty() && specification.dataRack != server.rack))
        return false;
    return !specification.sameRack || std::ranges::all_of(stepOf(job, name).tasks, [&](const Task& member) {
        if (!member.run)
            return true;
        const auto found = this->board.servers.find(member.run->server);
        return found != this->board.servers.end() && found->second.rack == server.rack;
    });
}

std::optional<SteadyTime> SpeedLearner::workSince(const Job& job, const TaskName& name, const Run& run) const
{
    const auto beganPromptly = [](const Run& one) {
        return one.activeSince && one.firstSentAt && *one.activeSince - *one.firstSentAt <= promptStart;
    };
    if (!specificationOf(job, name).gang)
        return beganPromptly(run) ? run.activeSince : std::nullopt;
    SteadyTime latest {};
    for (const Task& member : stepOf(job, name).tasks) {
        if (!member.run || !beganPromptly(*member.run))
            return std::nullopt;
        latest = std::max(latest, *member.run->activeSince);
    }
    return latest;
}

void SpeedLearner::learn(const BackendServer& server, Job& job, const TaskName& name, Run& run,
    const RunTimeReading& reading, SteadyTime now)
{
    const StepSpecification& specification = specificationOf(job, name);
    if (specification.latencyTarget.count() > 0 || specification.fillsIdleCapacity || !job.queue)
        return;
    ServerSpeeds& speeds = this->board.speeds;
    const std::string& machine = server.speedKey();
    const bool wasProved = speeds.differ(server.service);
    const SpeedClass before = speeds.classOf(server.service, machine);
    const double slowness = speeds.believedSlowness(server.service, machine);
    speeds.learn(server.service, machine,
        { .kind = { .queue = job.queue->name,
              .account = job.record.account,
              .accelerators = specification.perTask.accelerators },
            .declared = specification.estimate,
            .job = std::hash<std::string>()(name.jobId),
            .taskCount = specification.taskCount },
        reading, run.observation, job.occurrences.at(name.occurrence).stepAt(name.step).observation, now);
    if (speeds.differ(server.service))
        this->board.speedRows.noteMachine(
            server.service, machine, std::abs(std::log(speeds.believedSlowness(server.service, machine) / slowness)));
    this->report(server, before, wasProved, now);
}

void SpeedLearner::learnMembers(Job& job, const TaskName& name, const Run& run, SteadyTime now)
{
    Step& step = job.occurrences.at(name.occurrence).stepAt(name.step);
    const std::optional<SteadyTime> since = this->workSince(job, name, run);
    if (!since)
        return;
    const auto ran = static_cast<double>(std::chrono::duration_cast<Duration>(now - *since).count());
    if (ran <= 0)
        return;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        Run& member = *step.tasks[index].run;
        const auto found = this->board.servers.find(member.server);
        // Members that have told their rate are known; others took no longer than the slowest one.
        if (found == this->board.servers.end() || member.observation.progress.hasRate()
            || member.observation.machine.weight > 0)
            continue;
        this->learn(found->second, job, { name.jobId, name.occurrence, name.step, static_cast<int>(index) }, member,
            { .milliseconds = ran, .variance = gangMilliseconds / ran * gangMilliseconds / ran, .isUpperBound = true },
            now);
    }
}

double SpeedLearner::slownessOf(const Job& job, const TaskName& name, const BackendServer& server) const
{
    const ServerSpeeds& speeds = this->board.speeds;
    if (!specificationOf(job, name).gang)
        return speeds.believedSlowness(server.service, server.speedKey());
    double slowest = 0;
    for (const Task& member : stepOf(job, name).tasks) {
        const auto found = member.run ? this->board.servers.find(member.run->server) : this->board.servers.end();
        if (found != this->board.servers.end())
            slowest = std::max(slowest, speeds.believedSlowness(server.service, found->second.speedKey()));
    }
    return slowest > 0 ? slowest : 1;
}

void SpeedLearner::learnRunTime(const BackendServer& server, const Job& job, const TaskName& name, Duration ran)
{
    const StepSpecification& specification = specificationOf(job, name);
    const double weight = specification.gang ? 1.0 : 1.0 / specification.taskCount;
    RunTimes& times = this->board.runTimes;
    times.setUneven(job.queue->name, this->board.speeds.differ(job.queue->service));
    times.learnTypical(
        { .queue = job.queue->name, .account = job.record.account, .accelerators = specification.perTask.accelerators },
        specification.estimate, ran, this->slownessOf(job, name, server), weight);
    if (times.learn(job.queue->name, specification.estimate, ran, weight))
        this->board.dirtyRunTimes.insert(job.queue->name);
}

void SpeedLearner::applyProofs()
{
    if (!this->board.configuration)
        return;
    for (const Queue& queue : this->board.configuration->queues)
        this->board.runTimes.setUneven(queue.name, this->board.speeds.differ(queue.service));
}

void SpeedLearner::report(const BackendServer& server, SpeedClass before, bool wasProved, SteadyTime now)
{
    const ServerSpeeds& speeds = this->board.speeds;
    const bool isProved = speeds.differ(server.service);
    if (isProved != wasProved) {
        this->applyProofs();
        this->board.speedRows.noteService(server.service);
        const ServiceSpeeds& service = speeds.all().at(server.service);
        // What was learned before the proof is not stored yet.
        for (const auto& [machine, speed] : service.machines)
            this->board.speedRows.putBack({ .service = server.service, .block = speedBlockOf(machine) });
        const Spread spread = service.unevenness.spread();
        this->effects.log(Event::SpeedsDiffer,
            { { "service", server.service }, { "differ", isProved }, { "machines", service.machines.size() },
                { "pairs", std::llround(service.unevenness.sums().pairs) },
                { "machinesPercent", std::llround(std::sqrt(spread.machines) * 100) },
                { "noisePercent", std::llround(std::sqrt(spread.noise) * 100) } });
        return;
    }
    const SpeedClass after = speeds.classOf(server.service, server.speedKey());
    if (after == before)
        return;
    if (now - this->reportsSince > reportPeriod) {
        this->reportsSince = now;
        this->reports = 0;
    }
    if (++this->reports > maximumReports) {
        ++this->unreported;
        return;
    }
    const SpeedEstimate estimate = speeds.of(server.service, server.speedKey());
    this->effects.log(Event::MachineSpeedClassed,
        { { "machine", server.speedKey() }, { "server", server.address.id }, { "service", server.service },
            { "class", speedClassName(after) }, { "former", speedClassName(before) },
            { "slownessPercent", std::llround(estimate.slowness * 100) },
            { "deviationPercent", std::llround(estimate.deviation * 100) },
            { "runs", std::round(estimate.runs * 10) / 10 }, { "unreported", std::exchange(this->unreported, 0) } });
}

} // namespace WisteriaHill::Scheduling::Estimates
