// Which runs are stopped for more urgent work; the rest of Planner is in planner.cpp.

#include "scheduling/planner.h"

#include <algorithm>
#include <optional>

namespace WisteriaHill::Scheduling {

namespace {

/// A preempted server stays reserved for the preempting job this long; stops take well under a second.
constexpr Duration preemptionReservationTime { 1200 };
/// A run that ends sooner than this is not stopped: a stop takes about as long.
constexpr Duration nearlyDoneTime { 800 };
/// Work that has waited longer stops also runs that are nearly done, since guaranteed starts are bounded.
constexpr Duration nearlyDoneWaitLimit { 1000 };

} // namespace

Planner::PreemptionSet Planner::cheapestPreemption(
    PlanningPass& pass, const PendingStep& pending, const std::vector<std::size_t>& candidates)
{
    const std::size_t wanted = pending.waitingTasks.size();
    const int maximumPerServer = pending.specification->maximumPerServer;
    PreemptionSearch search { .need = countedNeed(*pending.specification) };
    PreemptionSet choice;
    while (choice.servers.size() < wanted) {
        std::optional<PreemptionOption> best;
        for (const std::size_t index : candidates) {
            if (maximumPerServer > 0 && search.tasksOn(index) >= maximumPerServer)
                continue;
            std::optional<PreemptionOption> option = optionOn(pass, pending, search, index);
            if (option && (!best || option->loss < best->loss))
                best = std::move(option);
        }
        if (!best)
            break;
        search.add(*best);
        choice.loss += best->loss;
        std::vector<const TaskName*> stops;
        for (const PreemptibleRun* run : best->stops)
            stops.push_back(run->name);
        choice.servers.emplace_back(best->server, std::move(stops));
    }
    if (choice.servers.size() < wanted && pending.specification->gang)
        return {};
    return choice;
}

std::optional<Planner::PreemptionOption> Planner::optionOn(
    PlanningPass& pass, const PendingStep& pending, const PreemptionSearch& search, std::size_t server)
{
    Resources free = pass.servers[server].free;
    free += pass.beingFreed(server);
    for (int count = search.tasksOn(server); count > 0; --count)
        free -= search.need;
    const std::vector<PreemptibleRun>& preemptibleRuns = pass.preemptibleRuns(server);
    for (const PreemptibleRun& run : preemptibleRuns) {
        if (search.stops(run))
            free += run.need;
    }
    PreemptionOption option { .server = server };
    for (auto next = preemptibleRuns.begin(); !free.holds(search.need) && next != preemptibleRuns.end(); ++next) {
        if (next->urgency <= pending.urgency || next->name->jobId == pending.job->record.id || search.stops(*next)
            || (next->losesGangWork && pending.urgency != Urgency::Guaranteed)
            || (next->remaining < nearlyDoneTime && pass.time() - pending.state->readySince < nearlyDoneWaitLimit))
            continue;
        free += next->need;
        option.loss += next->loss;
        option.stops.push_back(&*next);
    }
    return free.holds(search.need) ? std::optional(std::move(option)) : std::nullopt;
}

int Planner::PreemptionSearch::tasksOn(std::size_t server) const
{
    const auto found = this->tasksByServer.find(server);
    return found == this->tasksByServer.end() ? 0 : found->second;
}

bool Planner::PreemptionSearch::stops(const PreemptibleRun& run) const
{
    return this->stoppedTasks.contains(run.name) || (run.gang && this->stoppedGangs.contains(run.gang));
}

void Planner::PreemptionSearch::add(const PreemptionOption& option)
{
    ++this->tasksByServer[option.server];
    for (const PreemptibleRun* run : option.stops) {
        this->stoppedTasks.insert(run->name);
        if (run->gang)
            this->stoppedGangs.insert(run->gang);
    }
}

Planner::PreemptionSet Planner::bestPreemption(
    PlanningPass& pass, const PendingStep& pending, bool inOneRack, PreemptedServers among) const
{
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const std::size_t index : this->candidatesFor(pass, pending)) {
        const PlacementServer& server = pass.servers[index];
        const bool tooSlow = among == PreemptedServers::NotSlow && server.speedClass == Estimates::SpeedClass::Slow;
        if (!tooSlow && !this->preemptions.contains(server.id))
            racks[inOneRack ? server.rack : std::string()].push_back(index);
    }
    PreemptionSet best;
    for (const auto& [rack, candidates] : racks) {
        PreemptionSet choice = cheapestPreemption(pass, pending, candidates);
        if (!choice.servers.empty() && (best.servers.empty() || choice.loss < best.loss))
            best = std::move(choice);
    }
    return best;
}

bool Planner::preemptFor(PlanningPass& pass, const PendingStep& pending, bool inOneRack, Plan& plan)
{
    if (this->hasPreemption(pending))
        return true; // the runs of an earlier preemption are being stopped
    const bool guaranteed = pending.urgency == Urgency::Guaranteed;
    const Placement::SpeedSpread& spread = pass.spreadOf(pending.queue->service);
    // Work that is late wherever it runs displaces nobody, unless its start is guaranteed.
    if (spread.differ && !guaranteed && pending.speed.bearable < spread.fast)
        return false;
    PreemptionSet best;
    if (spread.slowServers > 0 && pending.speed.bearable < spread.slow)
        best = this->bestPreemption(pass, pending, inOneRack, PreemptedServers::NotSlow);
    if (best.servers.empty() && (guaranteed || !spread.differ || pending.speed.bearable >= spread.slow))
        best = this->bestPreemption(pass, pending, inOneRack, PreemptedServers::Any);
    for (const auto& [server, stops] : best.servers) {
        this->preemptions[pass.servers[server].id]
            = { pending.job->record.id, pending.urgency, pass.time() + preemptionReservationTime };
        for (const TaskName* task : stops) {
            const bool known
                = std::ranges::any_of(plan.stops, [&](const PlannedStop& stop) { return stop.task == *task; });
            if (!known)
                plan.stops.push_back({ *task, pending.job->record.id });
        }
    }
    return !best.servers.empty();
}

} // namespace WisteriaHill::Scheduling
