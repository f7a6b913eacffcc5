#include "scheduling/configcheck/configdiff.h"

#include <algorithm>
#include <sstream>

namespace WisteriaHill::Scheduling::ConfigCheck {

namespace {

/// Collects the members in which two entries differ.
class MemberComparison {
public:
    template <typename Value> void compare(const char* name, const Value& before, const Value& after)
    {
        if (before == after)
            return;
        std::ostringstream text;
        text << std::boolalpha << name << ": " << before << " -> " << after;
        this->members.push_back(std::move(text).str());
    }

    void compare(const char* name, Duration before, Duration after)
    {
        if (before != after)
            this->compare(name, std::to_string(before.count()) + " ms", std::to_string(after.count()) + " ms");
    }

    std::vector<std::string> members;
};

std::string describe(const std::optional<PlacementAdvice>& advice)
{
    if (!advice)
        return "none";
    return std::to_string(advice->decisionTime.count()) + " ms, " + std::to_string(advice->timePerServer.count())
        + " ms a server, valid for " + std::to_string(advice->ticketValidity.count()) + " ms";
}

std::vector<std::string> changedMembers(const Queue& before, const Queue& after)
{
    MemberComparison comparison;
    comparison.compare("host", before.host, after.host);
    comparison.compare("path prefix", before.pathPrefix, after.pathPrefix);
    comparison.compare("service", before.service, after.service);
    comparison.compare("priority", before.priority, after.priority);
    comparison.compare("attempts", before.maximumAttempts, after.maximumAttempts);
    comparison.compare("stretch factor", before.stretchFactor, after.stretchFactor);
    comparison.compare("target duration", before.targetDuration, after.targetDuration);
    comparison.compare("timeout", before.timeout, after.timeout);
    comparison.compare("anonymous", before.anonymous, after.anonymous);
    comparison.compare("advice", describe(before.advice), describe(after.advice));
    return comparison.members;
}

std::vector<std::string> changedMembers(const Service& before, const Service& after)
{
    MemberComparison comparison;
    comparison.compare("enforces capacity", before.enforcesCapacity, after.enforcesCapacity);
    comparison.compare("standby", before.standby, after.standby);
    return comparison.members;
}

std::size_t countMissing(const std::vector<std::string>& keys, const std::vector<std::string>& from)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        keys, [&](const std::string& key) { return std::ranges::find(from, key) == from.end(); }));
}

std::vector<std::string> changedMembers(const ClientAccount& before, const ClientAccount& after)
{
    MemberComparison comparison;
    const std::size_t added = countMissing(after.keys, before.keys);
    const std::size_t removed = countMissing(before.keys, after.keys);
    if (added + removed > 0)
        comparison.members.push_back(
            "keys: " + std::to_string(added) + " added, " + std::to_string(removed) + " removed");
    comparison.compare("guaranteed accelerators", before.guaranteedAccelerators, after.guaranteedAccelerators);
    return comparison.members;
}

template <typename Entry>
void compareEntries(const std::string& kind, const std::vector<Entry>& before, const std::vector<Entry>& after,
    std::vector<Change>& changes)
{
    const auto label = [&](const Entry& entry) { return kind + " '" + entry.name + "'"; };
    for (const Entry& old : before) {
        if (std::ranges::find(after, old.name, &Entry::name) == after.end())
            changes.push_back({ .kind = ChangeKind::Removed, .entry = label(old), .members = {} });
    }
    for (const Entry& entry : after) {
        const auto old = std::ranges::find(before, entry.name, &Entry::name);
        if (old == before.end()) {
            changes.push_back({ .kind = ChangeKind::Added, .entry = label(entry), .members = {} });
            continue;
        }
        if (std::vector<std::string> members = changedMembers(*old, entry); !members.empty())
            changes.push_back({ .kind = ChangeKind::Changed, .entry = label(entry), .members = std::move(members) });
    }
}

} // namespace

std::vector<Change> compare(const FleetConfiguration& before, const FleetConfiguration& after)
{
    std::vector<Change> changes;
    compareEntries("queue", before.queues, after.queues, changes);
    compareEntries("service", before.services, after.services, changes);
    compareEntries("account", before.accounts, after.accounts, changes);
    MemberComparison limits;
    limits.compare("largest body", before.maximumBody, after.maximumBody);
    if (!limits.members.empty())
        changes.push_back({ .kind = ChangeKind::Changed, .entry = "limits", .members = std::move(limits.members) });
    return changes;
}

} // namespace WisteriaHill::Scheduling::ConfigCheck
