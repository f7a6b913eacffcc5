#include "utils/digest.h"

#include <array>
#include <openssl/evp.h>

namespace WisteriaHill::Utils {

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);

    std::string hex;
    hex.reserve(2UL * length);
    for (unsigned int index = 0; index < length; ++index) {
        hex += hexDigits[digest[index] >> 4U];
        hex += hexDigits[digest[index] & 0xfU];
    }
    return hex;
}

} // namespace WisteriaHill::Utils
