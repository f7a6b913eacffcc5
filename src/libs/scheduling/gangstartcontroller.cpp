#include "scheduling/gangstartcontroller.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// Parts of the patience after which an incomplete gang is stopped; the rest is for the stops. A former leader may have
/// ordered the starts of an adopted gang some time before.
constexpr int patienceParts = 2;
constexpr int adoptedPatienceParts = 4;
/// A single poll may be lost; a server that misses this many does not answer.
constexpr int silentPolls = 2;
/// A server on which a member did not start gets new runs only when nothing else fits, for this long.
constexpr Duration missedStartAvoidance { 4000 };

bool isUnconfirmed(const Run& run) { return run.phase == RunPhase::Ordered; }

} // namespace

GangStartController::Progress GangStartController::progressOf(const Step& gang) const
{
    Progress progress;
    for (const Task& task : gang.tasks) {
        if (!task.run) {
            ++progress.withoutRun;
            continue;
        }
        const Run& run = *task.run;
        if (run.phase == RunPhase::Recording || run.phase == RunPhase::Stopping)
            return {}; // no start was sent yet, or the gang is being stopped
        progress.since = std::min(progress.since, run.orderedAt);
        progress.adopted = progress.adopted || run.adopted;
        if (!isUnconfirmed(run)) {
            ++progress.started;
            continue;
        }
        ++progress.unconfirmed;
        progress.missing = &run;
        const auto server = this->board.servers.find(run.server);
        progress.serverSilent = progress.serverSilent || server == this->board.servers.end()
            || server->second.unansweredPolls >= silentPolls;
    }
    return progress;
}

std::string_view GangStartController::reasonToStop(const Progress& progress, SteadyTime now) const
{
    if (progress.withoutRun > 0 && progress.started + progress.unconfirmed > 0)
        return "members of the gang have no runs";
    if (progress.started == 0 || progress.unconfirmed == 0)
        return "";
    if (progress.serverSilent)
        return "the server of a member does not answer";
    const Duration limit = this->options.patience / (progress.adopted ? adoptedPatienceParts : patienceParts);
    return now - progress.since >= limit ? "a member did not start in time" : "";
}

void GangStartController::avoidServersOfMissing(const Step& gang, SteadyTime now)
{
    for (const Task& task : gang.tasks) {
        if (!task.run || !isUnconfirmed(*task.run))
            continue;
        const auto server = this->board.servers.find(task.run->server);
        if (server != this->board.servers.end())
            server->second.avoidUntil = std::max(server->second.avoidUntil, now + missedStartAvoidance);
    }
}

void GangStartController::stopIncompleteGangs(SteadyTime now)
{
    for (auto& [id, job] : this->board.jobs) {
        if (job.ended())
            continue;
        for (auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                Step& step = occurrence.steps[number];
                if (!job.record.specification.steps[number].gang || step.running == 0)
                    continue;
                const Progress progress = this->progressOf(step);
                const std::string_view reason = this->reasonToStop(progress, now);
                if (reason.empty())
                    continue;
                const TaskName first { id, index, static_cast<int>(number), 0 };
                this->effects.log(Event::GangIncomplete,
                    { { "gang", formatTaskName(first) }, { "started", progress.started },
                        { "unconfirmed", progress.unconfirmed }, { "withoutRun", progress.withoutRun },
                        { "missingServer", progress.missing ? progress.missing->server : "" },
                        { "adopted", progress.adopted },
                        { "sinceMs", std::chrono::duration_cast<Duration>(now - progress.since).count() },
                        { "reason", reason } });
                this->avoidServersOfMissing(step, now);
                this->tracker.stopGang(first, std::string(reason), now);
            }
        }
    }
}

} // namespace WisteriaHill::Scheduling
