/// Chooses the backend server for a request: two random choices, the less loaded one wins.
#pragma once

#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <optional>
#include <set>

namespace WisteriaHill::Controllers {

/// What a request asks of its server.
struct SelectionOptions {
    std::set<Model::BackendServerId> avoid; ///< servers that were tried already
    bool mayProbe = true; ///< may go to a server on probation
};

/// A server that may get a request now, or nothing. Servers to avoid are taken only when no other is left.
/// Pure apart from drawing from `random`.
std::optional<Model::BackendServerId> selectServer(const Model::Blackboard& blackboard, const SelectionOptions& options,
    Utils::RandomSource& random, Utils::SteadyTime now);

/// The number of requests this daemon may have in flight over all servers that accept work.
double usableConcurrency(const Model::Blackboard& blackboard);

} // namespace WisteriaHill::Controllers
