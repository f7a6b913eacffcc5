#include "scheduling/advice/callselection.h"

#include "scheduling/placement.h"

#include <algorithm>
#include <map>

namespace WisteriaHill::Scheduling::Advice {

namespace {

/// A server that the step may use.
struct Candidate {
    const BackendServer* server = nullptr;
    std::size_t places = 0; ///< tasks of the step that it has room for
    SteadyTime usableUntil {}; ///< of its ticket
    std::int64_t freeAccelerators = 0;
    bool hasTicket = false;
    bool allowedBefore = false;
};

/// The candidates in one rack, for gangs that start in one rack; otherwise all of them.
struct Group {
    std::vector<Candidate> candidates;
    std::size_t places = 0;
};

std::size_t waitingTasks(const AdvisedStep& step, SteadyTime now)
{
    const auto isHeld = [now](const Task& task) { return now < task.heldUntil; };
    // All members of a gang start together.
    if (step.specification->gang)
        return step.state->running > 0 || std::ranges::any_of(step.state->tasks, isHeld) ? 0 : step.state->tasks.size();
    return static_cast<std::size_t>(std::ranges::count_if(
        step.state->tasks, [&](const Task& task) { return task.phase == TaskPhase::Waiting && !isHeld(task); }));
}

/// Number of further tasks of the step that the server may run.
int limitOn(const BackendServer& server, const AdvisedStep& step, std::size_t waiting)
{
    if (step.specification->maximumPerServer == 0)
        return static_cast<int>(waiting);
    const auto isSameStep = [&](const auto& occupant) {
        return occupant.first.jobId == step.name.jobId && occupant.first.occurrence == step.name.occurrence
            && occupant.first.step == step.name.step;
    };
    const auto first = server.occupants.lower_bound(step.name);
    const auto present = std::find_if_not(first, server.occupants.end(), isSameStep);
    return std::min(static_cast<int>(waiting),
        step.specification->maximumPerServer - static_cast<int>(std::distance(first, present)));
}

enum class Room {
    Free,
    Preemptible, ///< what other work occupies counts too
};

/// The group to choose from: all candidates, or for a gang of one rack those of the rack with the most places, if it
/// holds the gang.
Group bestGroup(
    const Board& board, const AdvisedStep& step, std::size_t waiting, Room room, const Usable& usable, SteadyTime now)
{
    std::map<std::string, Group> racks;
    Group all;
    const StepTickets& tickets = step.state->advice;
    for (const auto& [id, server] : board.servers) {
        if (server.service != step.queue->service || !usable(server)
            || !hasRequiredLabel(server.labels, *step.specification))
            continue;
        const TicketState state = tickets.stateOf(id, server.startOfLife(), now);
        if (state == TicketState::Denied || state == TicketState::Rejected)
            continue;
        const Resources free = server.freeCapacity();
        const std::size_t places = countFitting(
            room == Room::Free ? free : server.capacity, *step.specification, limitOn(server, step, waiting));
        if (places == 0)
            continue;
        Candidate candidate { .server = &server,
            .places = places,
            .freeAccelerators = free.accelerators,
            .hasTicket = state == TicketState::Usable,
            .allowedBefore = state == TicketState::Usable || state == TicketState::Expired };
        if (candidate.hasTicket)
            candidate.usableUntil = tickets.tickets.at(id).usableUntil;
        for (Group* group : { &all, &racks[server.rack] }) {
            group->candidates.push_back(candidate);
            group->places += places;
        }
    }
    const auto largest = std::ranges::max_element(racks, {}, [](const auto& rack) { return rack.second.places; });
    const bool inOneRack = step.specification->gang && step.specification->sameRack && largest != racks.end()
        && largest->second.places >= waiting;
    return inOneRack ? std::move(largest->second) : std::move(all);
}

/// The servers to name so that tickets for `waiting` tasks are usable at `time`, the most useful first, and how many
/// of them that takes at least.
struct Shortfall {
    std::vector<NamedServer> servers;
    std::size_t needed = 0;
};

Shortfall shortfallAt(SteadyTime time, const Group& group, std::size_t waiting)
{
    Shortfall shortfall;
    std::size_t covered = 0;
    for (const Candidate& candidate : group.candidates)
        covered += candidate.hasTicket && time < candidate.usableUntil ? candidate.places : 0;
    for (const Candidate& candidate : group.candidates) {
        if (candidate.hasTicket && time < candidate.usableUntil)
            continue;
        shortfall.needed += covered < waiting ? 1 : 0;
        covered += candidate.places;
        shortfall.servers.push_back({ candidate.server->address.id, candidate.server->startOfLife() });
    }
    return shortfall;
}

/// Time from now until the last answer of the calls for so many servers.
Duration timeOfCalls(const PlacementAdvice& figures, std::size_t servers)
{
    const auto calls = static_cast<std::int64_t>((servers + maximumServersPerCall - 1) / maximumServersPerCall);
    return figures.decisionTime * calls + figures.timePerServer * static_cast<std::int64_t>(servers);
}

CallSelection selectForGang(const Group& group, std::size_t waiting, const PlacementAdvice& figures,
    std::optional<ValidityStart> proven, SteadyTime now)
{
    // Tickets that end before the last answer do not count, which may require more servers and more time.
    Duration time { 0 };
    Shortfall shortfall = shortfallAt(now, group, waiting);
    for (Duration next = timeOfCalls(figures, shortfall.needed); next > time;
         next = timeOfCalls(figures, shortfall.needed)) {
        time = next;
        shortfall = shortfallAt(now + time, group, waiting);
    }
    if (shortfall.needed == 0)
        return {};
    const ValidityStart start
        = proven.value_or(canBeUsedTogether(figures, shortfall.needed, ValidityStart::Call) ? ValidityStart::Call
                                                                                            : ValidityStart::Answer);
    if (!canBeUsedTogether(figures, shortfall.needed, start))
        return {};
    const std::size_t size = std::max(std::min(shortfall.needed, maximumServersPerCall), usualCallSize(figures, start));
    shortfall.servers.resize(std::min(shortfall.servers.size(), size));
    return { .servers = std::move(shortfall.servers),
        .validityStart = start,
        .partial = shortfall.needed > maximumServersPerCall };
}

} // namespace

CallSelection selectServers(const Board& board, const AdvisedStep& step, const PlacementAdvice& figures,
    std::optional<ValidityStart> proven, const Usable& usable, SteadyTime now)
{
    const std::size_t waiting = waitingTasks(step, now);
    if (waiting == 0)
        return {};
    Group group = bestGroup(board, step, waiting, Room::Free, usable, now);
    // The planner preempts runs only on servers that the step has tickets for.
    if (group.places < waiting && step.queue->priority == 0)
        group = bestGroup(board, step, waiting, Room::Preemptible, usable, now);
    const bool gang = step.specification->gang;
    if (gang && group.places < waiting)
        return {};
    // One ticket allows several tasks, so servers with more room come first.
    std::ranges::stable_sort(group.candidates, std::greater(), [&](const Candidate& candidate) {
        const bool nearData
            = !step.specification->dataRack.empty() && candidate.server->rack == step.specification->dataRack;
        return std::tuple(nearData, candidate.allowedBefore, candidate.places, candidate.freeAccelerators);
    });
    if (gang)
        return selectForGang(group, waiting, figures, proven, now);
    Shortfall shortfall = shortfallAt(now, group, waiting);
    if (shortfall.needed == 0)
        return {};
    const ValidityStart start = proven.value_or(
        usualCallSize(figures, ValidityStart::Call) > 0 ? ValidityStart::Call : ValidityStart::Answer);
    shortfall.servers.resize(std::min(shortfall.servers.size(), usualCallSize(figures, start)));
    return { .servers = std::move(shortfall.servers), .validityStart = start };
}

} // namespace WisteriaHill::Scheduling::Advice
