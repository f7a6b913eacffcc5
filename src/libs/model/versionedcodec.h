/// Encoding of messages between daemons: a protocol version followed by a value, serialised by cereal.
#pragma once

#include "model/boundedinputarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

namespace WisteriaHill::Model {

template <typename Value> std::string encodeVersioned(const Value& value, std::uint32_t version)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(version, value);
    }
    return std::move(stream).str();
}

/// Returns nothing when there are more than `limit` bytes, when they are malformed or of another version, or when bytes
/// follow the value.
template <typename Value>
std::optional<Value> decodeVersioned(const std::string& bytes, std::size_t limit, std::uint32_t version)
{
    if (bytes.size() > limit)
        return std::nullopt;
    try {
        Internal::BoundedInputArchive archive(bytes);
        std::uint32_t found = 0;
        archive(found);
        if (found != version)
            return std::nullopt;
        Value value;
        archive(value);
        if (archive.remaining() != 0)
            return std::nullopt;
        return value;
    } catch (const std::exception&) {
        return std::nullopt; // the caller counts and logs rejected messages
    }
}

} // namespace WisteriaHill::Model
