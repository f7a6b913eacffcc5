#include "model/peermessage.h"

#include "model/versionedcodec.h"

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace WisteriaHill::Model {

namespace {

constexpr std::uint32_t protocolVersion = 1;

template <typename Value> std::string encode(const Value& value) { return encodeVersioned(value, protocolVersion); }

template <typename Value> std::optional<Value> decode(const std::string& bytes, std::size_t limit)
{
    return decodeVersioned<Value>(bytes, limit, protocolVersion);
}

} // namespace

std::string encodeHeartbeat(const Heartbeat& heartbeat)
{
    std::string bytes = encode(heartbeat);
    Heartbeat shortened = heartbeat;
    while (bytes.size() > maximumHeartbeatBytes) {
        shortened.servers.resize(shortened.servers.size() / 2);
        shortened.drains.resize(shortened.drains.size() / 2);
        bytes = encode(shortened);
    }
    return bytes;
}

std::optional<Heartbeat> decodeHeartbeat(const std::string& bytes)
{
    std::optional<Heartbeat> heartbeat = decode<Heartbeat>(bytes, maximumHeartbeatBytes);
    if (heartbeat && (heartbeat->host.empty() || heartbeat->phase > HostPhase::Left))
        return std::nullopt;
    return heartbeat;
}

std::string encodePeerRequest(const PeerRequest& request) { return encode(request); }

std::optional<PeerRequest> decodePeerRequest(const std::string& bytes)
{
    return decode<PeerRequest>(bytes, maximumPeerMessageBytes);
}

std::string encodePeerReply(const PeerReply& reply) { return encode(reply); }

std::optional<PeerReply> decodePeerReply(const std::string& bytes)
{
    return decode<PeerReply>(bytes, maximumPeerMessageBytes);
}

} // namespace WisteriaHill::Model
