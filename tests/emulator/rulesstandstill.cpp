// The rule on jobs that stand still; the rest of RuleJudge is in rules.cpp.

#include "emulator/rules.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Emulator {

using namespace Scheduling;
using namespace std::chrono_literals;

namespace {

constexpr Duration finishTime = 14s; ///< after the last submission
constexpr Duration standstillTime = 3s;
constexpr Duration calmBefore = 4s; ///< before the time in which a task that lasts stands still
constexpr Duration timeAfterLastRun = 6s; ///< of a task that lasts
constexpr Duration renewalsAfterElection = 8s; ///< an earlier leader that is cut off renews leases for this long
constexpr Duration contactTime = 3s; ///< until servers and leaders count as in touch

Resources freeOf(const ServerView& server)
{
    Resources free = server.capacity;
    free -= server.inUse;
    return free;
}

bool isUnderHalfInUse(const std::vector<ServerView>& servers)
{
    Resources capacity;
    Resources twiceInUse;
    for (const ServerView& server : servers) {
        if (!server.isRegistered)
            continue;
        capacity += server.capacity;
        twiceInUse += server.inUse;
        twiceInUse += server.inUse;
    }
    return twiceInUse.milliCores < capacity.milliCores && twiceInUse.memoryMb < capacity.memoryMb
        && twiceInUse.accelerators < capacity.accelerators;
}

} // namespace

RuleJudge::Conditions RuleJudge::updateConditions(const FleetView& fleet, SteadyTime now)
{
    if (fleet.leader != this->leader) {
        if (!fleet.leader.empty() && fleet.leader != this->lastLeader) {
            this->renewalsEnd = now + (this->lastLeader.empty() ? Duration(0) : renewalsAfterElection);
            this->lastLeader = fleet.leader;
        }
        this->leader = fleet.leader;
        this->ledSince = now;
        this->usableSince.clear();
    }
    if (fleet.isCalm)
        this->calmSince = this->calmSince.value_or(now);
    else
        this->calmSince.reset();
    if (fleet.hasSubmissionsLeft)
        this->submissionsEndedAt.reset();
    else
        this->submissionsEndedAt = this->submissionsEndedAt.value_or(now);
    Conditions conditions { .isUnderHalf = isUnderHalfInUse(fleet.servers),
        .isAfterSubmissions = this->submissionsEndedAt && now - *this->submissionsEndedAt >= finishTime,
        .isCalm = this->calmSince && now - *this->calmSince >= calmBefore };
    const bool isLed = !fleet.leader.empty() && now - this->ledSince >= contactTime;
    for (const ServerView& server : fleet.servers) {
        this->machines[server.life] = server.machine;
        if (!server.isUsable || fleet.leader.empty()) {
            this->usableSince.erase(server.life);
            continue;
        }
        const SteadyTime since = this->usableSince.emplace(server.life, now).first->second;
        if (isLed && now - since >= contactTime)
            conditions.room.push_back(&server);
    }
    return conditions;
}

bool RuleJudge::jobIsAtWork(const std::string& id) const
{
    for (auto task = this->tasks.lower_bound({ id, 0, 0, 0 }); task != this->tasks.end() && task->first.jobId == id;
         ++task) {
        if (std::ranges::any_of(task->second.runs, [](const Run& run) { return !run.endedAt.has_value(); }))
            return true;
    }
    return false;
}

bool RuleJudge::isStoodDone(const TaskName& task) const
{
    return std::ranges::any_of(this->representedBy(task), [&](const TaskName& member) {
        const auto known = this->tasks.find(member);
        return known != this->tasks.end() && std::ranges::any_of(known->second.runs, [](const Run& run) {
            return run.end == RunEnd::Done && run.notedAt && !run.lapsedUnnoted;
        });
    });
}

bool RuleJudge::hasTurn(const JobRecord& job, const TaskName& task, StoreTime now) const
{
    const JobSpecification& specification = job.record.specification;
    if (specification.occurrences > 0 && now < specification.firstDue + specification.interval * task.occurrence)
        return false;
    if (this->hasEndedDone(task))
        return false;
    for (const int step : specification.steps.at(static_cast<std::size_t>(task.step)).prerequisites) {
        for (int index = 0; index < specification.steps.at(static_cast<std::size_t>(step)).taskCount; ++index) {
            if (!this->isStoodDone({ task.jobId, task.occurrence, step, index }))
                return false;
        }
    }
    return true;
}

void RuleJudge::orderedWithoutAnswer(const ServerLife& server, const TaskName& task, int attempt, SteadyTime now)
{
    this->tasks[task].unanswered.try_emplace({ server, attempt }, now);
}

bool RuleJudge::isBack(const ServerLife& life, const FleetView& fleet, SteadyTime now) const
{
    const auto machine = this->machines.find(life);
    return machine != this->machines.end() && std::ranges::any_of(fleet.servers, [&](const ServerView& server) {
        const auto since = this->usableSince.find(server.life);
        return server.machine == machine->second && since != this->usableSince.end()
            && now - since->second >= contactTime;
    });
}

bool RuleJudge::isTakenForAlive(const TaskName& task, const FleetView& fleet, SteadyTime now) const
{
    const auto mayHoldLease
        = [&](SteadyTime since) { return now - std::max(since, this->renewalsEnd) < this->longestLease; };
    const auto isTaken = [&](const Run& run) {
        if (!run.endedAt || run.notedAt)
            return false;
        if (run.crashedAt)
            return mayHoldLease(*run.crashedAt) && !this->isBack(run.server, fleet, now);
        return std::ranges::any_of(fleet.servers, [&](const ServerView& server) {
            return server.life == run.server && !server.isUsable && (server.holdsLease || mayHoldLease(SteadyTime {}));
        });
    };
    const auto isOrdered
        = [&](const auto& entry) { return mayHoldLease(entry.second) && !this->isBack(entry.first.first, fleet, now); };
    return std::ranges::any_of(this->representedBy(task), [&](const TaskName& member) {
        const auto known = this->tasks.find(member);
        return known != this->tasks.end()
            && (std::ranges::any_of(known->second.runs, isTaken)
                || std::ranges::any_of(known->second.unanswered, isOrdered));
    });
}

bool RuleJudge::hasRoomTwice(const TaskName& task, const Conditions& conditions) const
{
    const StepSpecification& step = this->stepOf(task);
    const Resources need = countedNeed(step);
    const int wanted = 2 * (step.gang ? step.taskCount : 1);
    int found = 0;
    for (const ServerView* server : conditions.room) {
        if (!step.requiredLabel.empty() && !server->labels.contains(step.requiredLabel))
            continue;
        const int most = step.maximumPerServer > 0 ? std::min(wanted, 2 * step.maximumPerServer) : wanted;
        Resources free = freeOf(*server);
        for (int count = 0; count < most && free.holds(need); ++count) {
            free -= need;
            ++found;
        }
    }
    return found >= wanted;
}

std::optional<SteadyTime> RuleJudge::lastEndOf(const TaskName& task) const
{
    std::optional<SteadyTime> last;
    for (const TaskName& member : this->representedBy(task)) {
        const auto known = this->tasks.find(member);
        if (known == this->tasks.end())
            continue;
        for (const Run& run : known->second.runs)
            last = std::max(last, run.endedAt);
    }
    return last;
}

std::optional<SteadyTime> RuleJudge::lastEndOfJob(const std::string& id) const
{
    std::optional<SteadyTime> last;
    for (auto task = this->tasks.lower_bound({ id, 0, 0, 0 }); task != this->tasks.end() && task->first.jobId == id;
         ++task) {
        for (const Run& run : task->second.runs)
            last = std::max(last, run.endedAt);
    }
    return last;
}

void RuleJudge::stand(const TaskName& task, Standstill kind, bool stands, SteadyTime now)
{
    if (!stands) {
        this->standsSince.erase({ task, kind });
        return;
    }
    SteadyTime& since = this->standsSince.emplace(std::pair(task, kind), now).first->second;
    const bool lasts = this->stepOf(task).longRunning;
    const std::optional<SteadyTime> lastEnd = lasts ? this->lastEndOf(task) : this->lastEndOfJob(task.jobId);
    if (lastEnd && !lasts)
        since = std::max(since, *lastEnd); // a run may have begun and ended since the last observation
    const Duration bound = lasts && !lastEnd ? timeAfterLastRun : standstillTime;
    if (now - since < bound || (lasts && lastEnd && now - *lastEnd < timeAfterLastRun))
        return;
    this->report("LOST", now,
        (lasts ? std::string("a task that lasts") : task.jobId) + " has nothing running, " + formatTaskName(task)
            + " could run" + (kind == Standstill::InCalm ? " in calm" : ""));
}

void RuleJudge::observeTask(
    const TaskName& task, bool stands, const FleetView& fleet, const Conditions& conditions, SteadyTime now)
{
    const JobRecord& job = this->jobs.at(task.jobId);
    const bool mayStart = stands && this->hasTurn(job, task, fleet.storeTime)
        && !this->isTakenForAlive(task, fleet, now) && this->hasRoomTwice(task, conditions);
    this->stand(
        task, Standstill::AfterSubmissions, mayStart && conditions.isAfterSubmissions && conditions.isUnderHalf, now);
    if (this->stepOf(task).longRunning)
        this->stand(task, Standstill::InCalm, mayStart && conditions.isCalm, now);
}

void RuleJudge::observeJob(const JobRecord& job, const FleetView& fleet, const Conditions& conditions, SteadyTime now)
{
    const std::string& id = job.record.id;
    const std::vector<StepSpecification>& steps = job.record.specification.steps;
    const bool hasLasting = std::ranges::any_of(steps, &StepSpecification::longRunning);
    const bool isAtWork = this->jobIsAtWork(id);
    const bool isJudged = (conditions.isAfterSubmissions || hasLasting) && (!isAtWork || hasLasting);
    if (!isJudged || !this->isOwed(job)) {
        std::erase_if(this->standsSince, [&](const auto& entry) { return entry.first.first.jobId == id; });
        return;
    }
    for (const TaskName& task : this->tasksOf(job)) {
        const StepSpecification& step = this->stepOf(task);
        if (step.gang && task.index > 0)
            continue;
        const bool stands = step.longRunning ? std::ranges::none_of(this->representedBy(task),
                                [&](const TaskName& member) { return this->isAtWork(member); })
                                             : !isAtWork;
        this->observeTask(task, stands, fleet, conditions, now);
    }
}

void RuleJudge::observe(const FleetView& fleet, SteadyTime now)
{
    const Conditions conditions = this->updateConditions(fleet, now);
    for (const auto& [id, job] : this->jobs)
        this->observeJob(job, fleet, conditions, now);
}

} // namespace WisteriaHill::Emulator
