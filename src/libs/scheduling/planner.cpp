#include "scheduling/planner.h"

#include "scheduling/advicecontroller.h"

#include <algorithm>
#include <optional>

namespace WisteriaHill::Scheduling {

namespace {

/// A server that is being cleared stays reserved this long; stops take well under a second.
constexpr Duration clearingTime { 1200 };
/// At most this share of the servers drains for gangs that wait; smaller work goes on elsewhere.
constexpr double largestClaimedShare = 0.4;
/// When more servers than this share are avoided, they are used last instead of not at all.
constexpr double largestAvoidedShare = 0.3;

/// A server on which a run ended well this recently is trusted with a job that has failed elsewhere: servers that fail
/// everything are always free, and would use up the attempts of a job one after the other.
constexpr Duration provenTime { 2500 };
/// A job's last attempt waits this long for such a server.
constexpr Duration lastAttemptPatience { 3000 };
/// Searches for servers to clear in one pass; each looks at every run of a service.
constexpr int clearingsPerPass = 8;

std::int64_t memoryPerAccelerator(const Resources& capacity)
{
    return capacity.memoryMb / std::max<std::int64_t>(capacity.accelerators, 1);
}

/// How much has to end before the server has room, with accelerators weighed as their share of memory.
std::int64_t occupiedBefore(const PlacementServer& server, const Resources& need)
{
    if (server.free.holds(need))
        return 0;
    return server.capacity.memoryMb - server.free.memoryMb
        + memoryPerAccelerator(server.capacity) * (server.capacity.accelerators - server.free.accelerators);
}

} // namespace

Plan Planner::plan(const Board& board, const PlanningPass::Usable& usable, SteadyTime now)
{
    Plan plan;
    PlanningPass pass(board, usable, now);
    this->claimed.clear();
    this->failedShapes.clear();
    this->clearingsLeft = clearingsPerPass;
    this->expireClearings(board, now);
    const std::vector<WaitingUnit> units = pass.waitingUnits();
    const auto avoided = std::ranges::count_if(pass.servers, &PlacementServer::lastChoice);
    this->excludeAvoided
        = static_cast<double>(avoided) <= largestAvoidedShare * static_cast<double>(pass.servers.size());
    this->reserve.apply(pass, units);
    for (const WaitingUnit& unit : units) {
        if (unit.forecast.outlook != unit.state->outlook)
            plan.outlookChanges.push_back({ unit.taskName(0), unit.forecast });
        this->placeUnit(pass, unit, plan);
    }
    plan.idle = this->idleAccelerators(pass);
    return plan;
}

IdleAccelerators Planner::idleAccelerators(const PlanningPass& pass) const
{
    IdleAccelerators idle;
    for (const PlacementServer& server : pass.servers) {
        std::int64_t& part = this->claimed.contains(server.id) ? idle.claimed
            : server.heldReady                                 ? idle.held
                                                               : idle.open;
        part += server.free.accelerators;
    }
    return idle;
}

void Planner::expireClearings(const Board& board, SteadyTime now)
{
    std::erase_if(this->clearings, [&](const auto& entry) {
        const auto job = board.jobs.find(entry.second.jobId);
        return now > entry.second.until || job == board.jobs.end() || job->second.ended();
    });
}

std::vector<std::size_t> Planner::candidatesFor(const PlanningPass& pass, const WaitingUnit& unit) const
{
    std::vector<std::size_t> candidates;
    candidates.reserve(pass.servers.size());
    for (std::size_t index = 0; index < pass.servers.size(); ++index) {
        const PlacementServer& server = pass.servers[index];
        if (pass.entries[index]->service != unit.queue->service || (server.lastChoice && this->excludeAvoided)
            || !isEligible(server, *unit.specification) || (!this->claimed.empty() && this->claimed.contains(server.id))
            || !hasTicket(*unit.queue, *unit.state, server.id, pass.time()))
            continue;
        const auto clearing = this->clearings.empty() ? this->clearings.end() : this->clearings.find(server.id);
        if (clearing != this->clearings.end() && clearing->second.jobId != unit.job->record.id
            && clearing->second.urgency <= unit.urgency)
            continue;
        candidates.push_back(index);
    }
    return unit.job->failedOn.empty() ? candidates : provenAmong(pass, unit, candidates);
}

std::vector<std::size_t> Planner::provenAmong(
    const PlanningPass& pass, const WaitingUnit& unit, const std::vector<std::size_t>& candidates)
{
    const Resources need = countedNeed(*unit.specification);
    std::vector<std::size_t> others;
    std::vector<std::size_t> proven;
    std::size_t roomy = 0;
    for (const std::size_t index : candidates) {
        if (unit.job->failedOn.contains(pass.servers[index].id))
            continue;
        others.push_back(index);
        if (pass.time() - pass.entries[index]->lastDoneAt > provenTime)
            continue;
        proven.push_back(index);
        roomy += pass.servers[index].free.holds(need) ? 1 : 0;
    }
    int failures = 0;
    for (const Task& task : unit.state->tasks)
        failures = std::max(failures, task.failures);
    const bool lastAttempt = failures + 1 >= unit.queue->maximumAttempts;
    const Task& first = unit.state->tasks[static_cast<std::size_t>(unit.waiting.front())];
    if (roomy >= unit.waiting.size() || (lastAttempt && pass.time() - first.waitingSince < lastAttemptPatience))
        return proven;
    return others.empty() ? candidates : others;
}

void Planner::countTasksOfStep(PlanningPass& pass, const WaitingUnit& unit, const Plan& plan)
{
    const auto isSameStep = [&](const TaskName& name) {
        return name.jobId == unit.job->record.id && name.occurrence == unit.occurrence->index && name.step == unit.step;
    };
    for (std::size_t index = 0; index < pass.servers.size(); ++index) {
        PlacementServer& server = pass.servers[index];
        server.tasksOfStep = 0;
        if (unit.specification->maximumPerServer == 0)
            continue;
        for (const auto& [name, need] : pass.entries[index]->occupants)
            server.tasksOfStep += isSameStep(name) ? 1 : 0;
        for (const PlannedStart& start : plan.starts)
            server.tasksOfStep += start.server == server.id && isSameStep(start.task) ? 1 : 0;
    }
}

bool Planner::mayUseHeldReady(const WaitingUnit& unit) const
{
    return unit.urgency != Urgency::Ordinary || unit.specification->savesProgress
        || this->reserve.loadOf(unit.queue->service).mostlyIdle();
}

bool Planner::ownsClearing(const WaitingUnit& unit) const
{
    return std::ranges::any_of(
        this->clearings, [&](const auto& entry) { return entry.second.jobId == unit.job->record.id; });
}

Planner::FailedShape Planner::shapeOf(const WaitingUnit& unit, bool anyRack) const
{
    return { .service = unit.queue->service,
        .need = countedNeed(*unit.specification),
        .count = unit.specification->gang ? static_cast<int>(unit.waiting.size()) : 1,
        .inOneRack = unit.specification->gang && unit.specification->sameRack && !anyRack,
        .mayUseHeldReady = this->mayUseHeldReady(unit) };
}

bool Planner::mustFail(const WaitingUnit& unit, const FailedShape& shape) const
{
    const auto failedBefore = [&](const FailedShape& failed) {
        return failed.service == shape.service && shape.need.holds(failed.need) && shape.count >= failed.count
            && (shape.inOneRack || !failed.inOneRack) && (failed.mayUseHeldReady || !shape.mayUseHeldReady);
    };
    return std::ranges::any_of(this->failedShapes, failedBefore) && !this->ownsClearing(unit);
}

void Planner::placeUnit(PlanningPass& pass, const WaitingUnit& unit, Plan& plan)
{
    const StepSpecification& step = *unit.specification;
    const Duration patience = unit.urgency == Urgency::Guaranteed ? this->options.guaranteedRackPatience
        : this->reserve.loadOf(unit.queue->service).mostlyIdle()  ? this->options.idleRackPatience
                                                                  : this->options.rackPatience;
    const bool anyRack = pass.time() - unit.state->readySince > patience;
    const FailedShape shape = this->shapeOf(unit, anyRack);
    if (!this->mustFail(unit, shape)) {
        if (this->placeTasksOf(pass, unit, anyRack, plan))
            return;
        const bool unconstrained = step.requiredLabel.empty() && step.dataRack.empty() && step.maximumPerServer == 0
            && !unit.queue->advice && unit.job->failedOn.empty();
        if (unconstrained)
            this->failedShapes.push_back(shape);
    }
    ++plan.waitingUnits;
    if (unit.forecast.outlook != Outlook::TooLate || unit.urgency == Urgency::Guaranteed)
        this->waitForRoom(pass, unit, anyRack, plan);
}

bool Planner::placeTasksOf(PlanningPass& pass, const WaitingUnit& unit, bool anyRack, Plan& plan)
{
    const StepSpecification& step = *unit.specification;
    if (step.maximumPerServer > 0)
        countTasksOfStep(pass, unit, plan);
    const std::vector<std::optional<std::size_t>> choice = placeTasks(pass.servers, this->candidatesFor(pass, unit),
        { .step = &step,
            .taskCount = static_cast<int>(unit.waiting.size()),
            .allOrNone = step.gang,
            .anyRack = anyRack,
            .mayUseHeldReady = this->mayUseHeldReady(unit),
            .prefersOthers
            = unit.urgency == Urgency::Ordinary && this->reserve.loadOf(unit.queue->service).mostlyIdle() });
    std::size_t placed = 0;
    for (std::size_t index = 0; index < choice.size(); ++index) {
        if (!choice[index])
            continue;
        ++placed;
        plan.starts.push_back({ unit.taskName(unit.waiting[index]), pass.servers[*choice[index]].id });
    }
    if (placed < choice.size())
        return false;
    std::erase_if(this->clearings, [&](const auto& entry) { return entry.second.jobId == unit.job->record.id; });
    return true;
}

void Planner::waitForRoom(PlanningPass& pass, const WaitingUnit& unit, bool anyRack, Plan& plan)
{
    const bool patient = pass.time() - unit.state->readySince < this->options.urgentPatience;
    if (unit.urgency != Urgency::Ordinary && !patient && this->clearingsLeft > 0) {
        --this->clearingsLeft;
        const bool cleared = this->makeRoom(pass, unit, unit.specification->sameRack && !anyRack, plan);
        if (!cleared && unit.urgency == Urgency::Guaranteed)
            this->makeRoom(pass, unit, false, plan);
    }
    if (unit.specification->gang)
        this->claimServers(pass, unit);
}

void Planner::claimServers(const PlanningPass& pass, const WaitingUnit& unit)
{
    const std::size_t wanted = unit.waiting.size();
    const auto limit = static_cast<std::size_t>(largestClaimedShare * static_cast<double>(pass.servers.size()));
    // The first gang in the queue always gets its servers, however many it needs.
    if (!this->claimed.empty() && this->claimed.size() + wanted > limit)
        return;
    const Resources need = countedNeed(*unit.specification);
    // By rack for gangs of one rack.
    std::map<std::string, std::vector<std::pair<std::int64_t, std::size_t>>> racks;
    for (const std::size_t index : this->candidatesFor(pass, unit)) {
        const PlacementServer& server = pass.servers[index];
        if (server.capacity.holds(need) && (!server.heldReady || this->mayUseHeldReady(unit)))
            racks[unit.specification->sameRack ? server.rack : std::string()].emplace_back(
                occupiedBefore(server, need), index);
    }
    const std::vector<std::pair<std::int64_t, std::size_t>>* best = nullptr;
    std::int64_t bestOccupied = 0;
    for (auto& [rack, servers] : racks) {
        if (servers.size() < wanted)
            continue;
        std::ranges::sort(servers);
        std::int64_t occupied = 0;
        for (std::size_t index = 0; index < wanted; ++index)
            occupied += servers[index].first;
        if (best && occupied >= bestOccupied)
            continue;
        best = &servers;
        bestOccupied = occupied;
    }
    for (std::size_t index = 0; best && index < wanted; ++index)
        this->claimed.insert(pass.servers[(*best)[index].second].id);
}

Planner::ClearingChoice Planner::cheapestClearing(
    PlanningPass& pass, const WaitingUnit& unit, const std::vector<std::size_t>& candidates)
{
    const std::size_t wanted = unit.waiting.size();
    const int maximumPerServer = unit.specification->maximumPerServer;
    ClearingSearch search { .need = countedNeed(*unit.specification) };
    ClearingChoice choice;
    while (choice.servers.size() < wanted) {
        std::optional<ClearingOffer> best;
        for (const std::size_t index : candidates) {
            if (maximumPerServer > 0 && search.chosenOn(index) >= maximumPerServer)
                continue;
            std::optional<ClearingOffer> offer = offerOf(pass, unit, search, index);
            if (offer && (!best || offer->loss < best->loss))
                best = std::move(offer);
        }
        if (!best)
            break;
        search.take(*best);
        choice.loss += best->loss;
        std::vector<const TaskName*> stops;
        for (const PossibleVictim* victim : best->stops)
            stops.push_back(victim->name);
        choice.servers.emplace_back(best->server, std::move(stops));
    }
    if (choice.servers.size() < wanted && unit.specification->gang)
        return {};
    return choice;
}

std::optional<Planner::ClearingOffer> Planner::offerOf(
    PlanningPass& pass, const WaitingUnit& unit, const ClearingSearch& search, std::size_t server)
{
    Resources free = pass.servers[server].free;
    free += pass.beingFreed(server);
    for (int count = search.chosenOn(server); count > 0; --count)
        free -= search.need;
    const std::vector<PossibleVictim>& victims = pass.victims(server);
    for (const PossibleVictim& victim : victims) {
        if (search.stops(victim))
            free += victim.need;
    }
    ClearingOffer offer { .server = server };
    for (auto next = victims.begin(); !free.holds(search.need) && next != victims.end(); ++next) {
        if (next->urgency <= unit.urgency || next->name->jobId == unit.job->record.id || search.stops(*next)
            || (next->losesGang && unit.urgency != Urgency::Guaranteed))
            continue;
        free += next->need;
        offer.loss += next->loss;
        offer.stops.push_back(&*next);
    }
    return free.holds(search.need) ? std::optional(std::move(offer)) : std::nullopt;
}

int Planner::ClearingSearch::chosenOn(std::size_t server) const
{
    const auto found = this->chosen.find(server);
    return found == this->chosen.end() ? 0 : found->second;
}

bool Planner::ClearingSearch::stops(const PossibleVictim& victim) const
{
    return this->stoppedTasks.contains(victim.name) || (victim.gang && this->stoppedGangs.contains(victim.gang));
}

void Planner::ClearingSearch::take(const ClearingOffer& offer)
{
    ++this->chosen[offer.server];
    for (const PossibleVictim* victim : offer.stops) {
        this->stoppedTasks.insert(victim->name);
        if (victim->gang)
            this->stoppedGangs.insert(victim->gang);
    }
}

bool Planner::makeRoom(PlanningPass& pass, const WaitingUnit& unit, bool inOneRack, Plan& plan)
{
    if (this->ownsClearing(unit))
        return true; // stops are under way
    std::map<std::string, std::vector<std::size_t>> racks;
    for (const std::size_t index : this->candidatesFor(pass, unit)) {
        if (!this->clearings.contains(pass.servers[index].id))
            racks[inOneRack ? pass.servers[index].rack : std::string()].push_back(index);
    }
    ClearingChoice best;
    for (const auto& [rack, candidates] : racks) {
        ClearingChoice choice = cheapestClearing(pass, unit, candidates);
        if (!choice.servers.empty() && (best.servers.empty() || choice.loss < best.loss))
            best = std::move(choice);
    }
    for (const auto& [server, stops] : best.servers) {
        this->clearings[pass.servers[server].id] = { unit.job->record.id, unit.urgency, pass.time() + clearingTime };
        for (const TaskName* victim : stops) {
            const bool known
                = std::ranges::any_of(plan.stops, [&](const PlannedStop& stop) { return stop.task == *victim; });
            if (!known)
                plan.stops.push_back({ *victim, unit.job->record.id });
        }
    }
    return !best.servers.empty();
}

} // namespace WisteriaHill::Scheduling
