#include "scheduling/fleetconfiguration.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

namespace {

template <typename Items, typename Predicate> auto findItem(const Items& items, Predicate predicate)
{
    const auto found = std::ranges::find_if(items, predicate);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const Queue* FleetConfiguration::findQueue(const std::string& host, const std::string& path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : this->queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const Queue* FleetConfiguration::queueOf(const JobRecord& job) const
{
    return findItem(
        this->queues, [&](const Queue& queue) { return queue.host == job.host && queue.pathPrefix == job.pathPrefix; });
}

const Service* FleetConfiguration::findService(const std::string& name) const
{
    return findItem(this->services, [&](const Service& service) { return service.name == name; });
}

const ClientAccount* FleetConfiguration::accountOfKey(const std::string& key) const
{
    return findItem(this->accounts,
        [&](const ClientAccount& account) { return std::ranges::find(account.keys, key) != account.keys.end(); });
}

const ClientAccount* FleetConfiguration::findAccount(const std::string& name) const
{
    return findItem(this->accounts, [&](const ClientAccount& account) { return account.name == name; });
}

} // namespace WisteriaHill::Scheduling
