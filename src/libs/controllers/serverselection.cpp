#include "controllers/serverselection.h"

#include <algorithm>
#include <vector>

namespace WisteriaHill::Controllers {

namespace {

using Model::Blackboard;
using Model::ServerView;

bool hasCapacity(const ServerView& view, bool mayProbe, Utils::SteadyTime now)
{
    if (!view.acceptsWork() || view.ejected || now < view.busyUntil)
        return false;
    if (view.probation)
        return mayProbe && view.inFlight == 0;
    return view.inFlight < static_cast<std::uint32_t>(view.concurrencyLimit);
}

double load(const ServerView& view)
{
    const std::uint32_t outstanding = std::max(view.inFlight, view.busySlots);
    return static_cast<double>(outstanding + view.inFlight) / view.server.slots;
}

const ServerView* lessLoadedOfTwo(const std::vector<const ServerView*>& candidates, Utils::RandomSource& random)
{
    const ServerView* first = candidates[random.below(candidates.size())];
    const ServerView* second = candidates[random.below(candidates.size())];
    return load(*second) < load(*first) ? second : first;
}

} // namespace

std::optional<Model::BackendServerId> selectServer(
    const Blackboard& blackboard, const SelectionOptions& options, Utils::RandomSource& random, Utils::SteadyTime now)
{
    std::vector<const ServerView*> untried;
    std::vector<const ServerView*> tried;
    for (const auto& [id, view] : blackboard.servers) {
        if (hasCapacity(view, options.mayProbe, now))
            (options.avoid.contains(id) ? tried : untried).push_back(&view);
    }
    if (untried.empty() && tried.empty())
        return std::nullopt;

    const auto onProbation = std::ranges::find_if(untried, [](const ServerView* view) { return view->probation; });
    if (onProbation != untried.end())
        return (*onProbation)->server.id;
    return lessLoadedOfTwo(untried.empty() ? tried : untried, random)->server.id;
}

double usableConcurrency(const Blackboard& blackboard)
{
    double sum = 0;
    for (const auto& [id, view] : blackboard.servers) {
        if (view.acceptsWork() && !view.ejected)
            sum += view.probation ? 1 : view.concurrencyLimit;
    }
    return sum;
}

} // namespace WisteriaHill::Controllers
