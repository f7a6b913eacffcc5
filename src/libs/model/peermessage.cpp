#include "model/peermessage.h"

#include "model/boundedinputarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace WisteriaHill::Model {

namespace {

constexpr std::uint32_t protocolVersion = 1;

template <typename Value> std::string encode(const Value& value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(protocolVersion, value);
    }
    return std::move(stream).str();
}

template <typename Value> std::optional<Value> decode(const std::string& bytes, std::size_t limit)
{
    if (bytes.size() > limit)
        return std::nullopt;
    try {
        Internal::BoundedInputArchive archive(bytes);
        std::uint32_t version = 0;
        archive(version);
        if (version != protocolVersion)
            return std::nullopt;
        Value value;
        archive(value);
        if (archive.remaining() != 0)
            return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
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

std::string encodeQuestion(const PeerQuestion& question) { return encode(question); }

std::optional<PeerQuestion> decodeQuestion(const std::string& bytes)
{
    return decode<PeerQuestion>(bytes, maximumPeerMessageBytes);
}

std::string encodeReply(const PeerReply& reply) { return encode(reply); }

std::optional<PeerReply> decodeReply(const std::string& bytes)
{
    return decode<PeerReply>(bytes, maximumPeerMessageBytes);
}

} // namespace WisteriaHill::Model
