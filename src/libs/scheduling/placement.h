/// Chooses backend servers for the tasks of one step. Pure: no clock, no input or output.
#pragma once

#include "scheduling/fleetjob.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// A backend server as placement sees it.
struct PlacementServer {
    std::string id;
    std::string rack;
    const std::set<std::string>* labels = nullptr;
    Resources capacity; ///< when empty
    Resources free; ///< beside everything placed or being stopped there
    int tasksOfStep = 0; ///< tasks of the step that are placed there
    bool avoided = false; ///< used only when nothing else fits
    bool reserved = false; ///< kept for urgent work and for work that can be stopped without loss
};

struct PlacementRequest {
    const StepSpecification* step = nullptr;
    int taskCount = 1;
    bool allOrNone = false; ///< place every task or none
    bool anyRack = false; ///< ignore rack preferences
    bool mayUseReserved = true;
    bool prefersUnreserved = false; ///< uses servers that are held ready only when nothing else fits
};

/// Index into the servers for each task, chosen among `candidates`; an unset entry could not be placed. Servers' free
/// capacity and tasksOfStep are reduced by what was placed. Tasks go to the fullest server that still fits, so that
/// whole servers stay free for tasks that need all accelerators of one; gangs of one rack go to the rack with the
/// tightest fit.
std::vector<std::optional<std::size_t>> placeTasks(
    std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates, const PlacementRequest& request);

/// True when the labels hold the one that the step requires, if it does.
bool hasRequiredLabel(const std::set<std::string>& labels, const StepSpecification& step);

/// True when the server may run a task of the step at all, were it empty.
bool isEligible(const PlacementServer& server, const StepSpecification& step);

/// What one task takes from a server. The processor need of a step that fills idle capacity is not counted.
Resources countedNeed(const StepSpecification& step);

} // namespace WisteriaHill::Scheduling
