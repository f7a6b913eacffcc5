/// A cereal input archive for untrusted bytes from a socket.
#pragma once

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace WisteriaHill::Model::Internal {

static_assert(std::endian::native == std::endian::little, "values are copied without a change of byte order");

/// Reads the output of cereal::PortableBinaryOutputArchive from a little-endian host. Rejects a container size that
/// exceeds the remaining input before memory is allocated. Throws cereal::Exception on malformed input.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , rest(bytes)
    {
        constexpr std::uint8_t littleEndian = 1;
        std::uint8_t byteOrder = 0;
        this->loadBinary(&byteOrder, sizeof(byteOrder));
        if (byteOrder != littleEndian)
            throw cereal::Exception("unsupported byte order");
    }

    void loadBinary(void* data, std::size_t count)
    {
        if (count > this->rest.size())
            throw cereal::Exception("input truncated: a value needs more bytes than remain");
        std::memcpy(data, this->rest.data(), count);
        this->rest.remove_prefix(count);
    }

    /// The number of bytes that have not been read yet.
    std::size_t remaining() const { return this->rest.size(); }

private:
    std::string_view rest;
};

template <typename Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, Value& value) // NOLINT(readability-identifier-naming)
{
    if constexpr (std::is_same_v<Value, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, sizeof(byte));
        if (byte > 1)
            throw cereal::Exception("a boolean must be encoded as 0 or 1");
        value = byte == 1;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) // NOLINT(readability-identifier-naming)
{
    cereal::size_type size = 0;
    archive(size);
    if (size > archive.remaining())
        throw cereal::Exception("a container size exceeds the remaining input");
    tag.size = static_cast<std::decay_t<Size>>(size);
}

template <typename Data>
void CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive, cereal::BinaryData<Data>& data) // NOLINT(readability-identifier-naming)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive, cereal::NameValuePair<Value>& pair) // NOLINT(readability-identifier-naming)
{
    archive(pair.value);
}

} // namespace WisteriaHill::Model::Internal

/// cereal looks up the output archive of an input archive when it searches for minimal serialization functions.
template <> struct cereal::traits::detail::get_output_from_input<WisteriaHill::Model::Internal::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
