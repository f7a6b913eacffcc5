/// Chooses the backend servers that a call to the placement advice names for one step.
#pragma once

#include "scheduling/advice/ticketfigures.h"
#include "scheduling/board.h"

#include <functional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::Advice {

using Usable = std::function<bool(const BackendServer&)>;

/// A step that waits for tickets. Valid while the board does not change.
struct AdvisedStep {
    TaskName name; ///< of the step's task with index 0
    const Job* job = nullptr;
    const Step* state = nullptr;
    const StepSpecification* specification = nullptr;
    const Queue* queue = nullptr;
};

/// A server that a call names, in the life for which its ticket will hold.
struct NamedServer {
    std::string id;
    std::int64_t life = 0;
};

/// A call to make. No servers: none is needed, or none would help.
struct CallSelection {
    std::vector<NamedServer> servers;
    ValidityStart validityStart = ValidityStart::Call; ///< under which the tickets can be used
    bool partial = false; ///< the gang needs further calls, whose tickets have to be valid together with these
};

/// Names servers with room for tasks that wait and have no ticket; those that the advice is known to allow, and those
/// in the rack of the step's data, come first. A gang gets a call only when there is room for all of it and its tickets
/// can be valid together. `proven` is the moment from which validity is known to count; without it, that of the call is
/// assumed wherever it leaves time for a start.
CallSelection selectServers(const Board& board, const AdvisedStep& step, const PlacementAdvice& figures,
    std::optional<ValidityStart> proven, const Usable& usable, SteadyTime now);

} // namespace WisteriaHill::Scheduling::Advice
