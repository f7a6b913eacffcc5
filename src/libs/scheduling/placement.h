/// Chooses backend servers for the tasks of one step. Pure: no clock, no input or output.
#pragma once

#include "scheduling/estimates/serverspeeds.h"
#include "scheduling/fleetjob.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// The order in which servers are taken by what is known of their speed; it goes before the tightness of the fit.
enum class SpeedPreference {
    None, ///< speed does not count
    FastFirst, ///< then unknown, then slow
    SlowFirst, ///< then unknown, then fast
    UnknownFirst, ///< then slow, then fast
};

/// A backend server as a candidate for placement.
struct PlacementServer {
    std::string id;
    std::string rack;
    const std::set<std::string>* labels = nullptr;
    Resources capacity; ///< total capacity of the server
    Resources free; ///< capacity not taken by runs, also those being stopped, nor by tasks already placed
    int tasksOfStep = 0; ///< number of tasks of the current step on the server
    bool avoided = false; ///< the server is used only when nothing else fits
    bool reserved = false; ///< the server is reserved for urgent work and work that can be stopped without loss
    Estimates::SpeedClass speedClass = Estimates::SpeedClass::Unknown;
};

struct PlacementRequest {
    const StepSpecification* step = nullptr;
    int taskCount = 1;
    bool allOrNone = false; ///< place every task or none
    bool anyRack = false; ///< ignore the data rack, and let a gang of one rack span racks
    bool mayUseReserved = true; ///< reserved servers in the step's data rack may be used anyway
    bool prefersUnreserved = false; ///< use reserved servers only when no other one fits
    SpeedPreference speed = SpeedPreference::None;
};

/// Chooses a server among `candidates` for each task. Returns an index into `servers` per task, unset for a task that
/// could not be placed, and updates `free` and `tasksOfStep` of the chosen servers. Tasks go to the fullest server that
/// still fits, so that whole servers stay free for tasks that need all accelerators of one; gangs of one rack go to the
/// rack with the tightest fit. With a preference for a speed, a gang goes to servers of like speed if these hold all of
/// it, since it is as slow as its slowest member; a gang of one rack tries the racks for the best speed first.
std::vector<std::optional<std::size_t>> placeTasks(
    std::vector<PlacementServer>& servers, const std::vector<std::size_t>& candidates, const PlacementRequest& request);

/// True when the step requires no label, or the labels contain the required one.
bool hasRequiredLabel(const std::set<std::string>& labels, const StepSpecification& step);

/// True when the server has the label that the step requires, whatever its capacity.
bool isEligible(const PlacementServer& server, const StepSpecification& step);

/// How many tasks of the step have room in `free`, at most `limit` and as many as one server may run.
std::size_t countFitting(Resources free, const StepSpecification& step, int limit);

/// Resources that one task takes from a server's capacity. Processor need does not count for a step that fills idle
/// capacity.
Resources countedNeed(const StepSpecification& step);

} // namespace WisteriaHill::Scheduling
