#include "controllers/zoneowner.h"

#include "utils/rendezvous.h"

#include <algorithm>

namespace WisteriaHill::Controllers {

bool isZoneOwner(const Model::Blackboard& blackboard, std::string_view key)
{
    const std::uint64_t own = Utils::rendezvousWeight(key, blackboard.self.host.value());
    return std::ranges::none_of(blackboard.members, [&](const auto& entry) {
        const Model::Member& member = entry.second;
        return member.live && member.zone == blackboard.self.zone && member.phase == Model::HostPhase::Ready
            && Utils::rendezvousWeight(key, member.host.value()) > own;
    });
}

} // namespace WisteriaHill::Controllers
