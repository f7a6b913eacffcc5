/// The hint of who does a piece of shared work in a zone.
#pragma once

#include "model/blackboard.h"

#include <string_view>

namespace WisteriaHill::Controllers {

/// True when this daemon is the one, among the live and ready members of its zone that it hears, whom rendezvous
/// hashing names for `key`. Two daemons may both believe it; correctness never depends on it.
bool isZoneOwner(const Model::Blackboard& blackboard, std::string_view key);

} // namespace WisteriaHill::Controllers
