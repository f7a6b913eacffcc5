/// A cereal input archive for bytes that come from a socket.
#pragma once

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace WisteriaHill::Model::Internal {

static_assert(std::endian::native == std::endian::little, "the portable archive's little-endian form is read as it is");

/// Reads what cereal::PortableBinaryOutputArchive wrote on a little-endian host. A container size that the rest of the
/// input can't hold is refused before anything is allocated. Throws cereal::Exception on malformed input.
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
            throw cereal::Exception("the input ends early");
        std::memcpy(data, this->rest.data(), count);
        this->rest.remove_prefix(count);
    }

    /// Bytes not read yet.
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
            throw cereal::Exception("not a truth value");
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
        throw cereal::Exception("a length exceeds the input");
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

/// cereal asks which output archive belongs to an input archive when it looks for minimal serialization functions.
template <> struct cereal::traits::detail::get_output_from_input<WisteriaHill::Model::Internal::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
