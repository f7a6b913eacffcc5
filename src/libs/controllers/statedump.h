/// The blackboard as JSON, for operators.
#pragma once

#include "model/blackboard.h"

namespace WisteriaHill::Controllers {

/// Contains every field that a decision depends on, without credentials and payloads. Ages are in milliseconds.
Utils::Json dumpBlackboard(const Model::Blackboard& blackboard, Utils::SteadyTime now);

/// The counters by their names.
Utils::Json dumpCounters(const Model::Counters& counters);

/// The name of the phase in dumps and answers.
std::string_view hostPhaseName(Model::HostPhase phase);

} // namespace WisteriaHill::Controllers
