#include "utils/base64.h"

#include <openssl/evp.h>

namespace WisteriaHill::Utils {

namespace {

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t lettersPerGroup = 4;

} // namespace

std::string toBase64(std::string_view bytes)
{
    const std::size_t groups = (bytes.size() + bytesPerGroup - 1) / bytesPerGroup;
    std::string text(groups * lettersPerGroup + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % lettersPerGroup != 0)
        return std::nullopt;
    std::string bytes(text.size() / lettersPerGroup * bytesPerGroup, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && text.size() > padding && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace WisteriaHill::Utils
