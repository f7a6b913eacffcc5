/// Assigns shared work of a zone to one of its entry hosts, as a hint.
#pragma once

#include "model/blackboard.h"

#include <string_view>

namespace WisteriaHill::Controllers {

/// True when rendezvous hashing assigns `key` to this daemon, among the members of its zone that are live and ready as
/// far as it knows. It can be true on two daemons at once, so correctness must not depend on it.
bool isZoneOwner(const Model::Blackboard& blackboard, std::string_view key);

} // namespace WisteriaHill::Controllers
