/// Selects the backend server for a request: the less loaded of two that are chosen at random.
#pragma once

#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <optional>
#include <set>

namespace WisteriaHill::Controllers {

/// Restricts which server a request gets.
struct SelectionOptions {
    std::set<Model::BackendServerId> avoid; ///< servers that are used only when no other has capacity
    bool mayProbe = true; ///< the request may go to a server on probation
};

/// A server that can accept a request now, or nothing. A server on probation is selected first, as soon as it is idle.
/// Pure except for the numbers drawn from `random`.
std::optional<Model::BackendServerId> selectServer(const Model::Blackboard& blackboard, const SelectionOptions& options,
    Utils::RandomSource& random, Utils::SteadyTime now);

/// The number of requests this daemon may have in flight over all servers that accept work.
double usableConcurrency(const Model::Blackboard& blackboard);

} // namespace WisteriaHill::Controllers
