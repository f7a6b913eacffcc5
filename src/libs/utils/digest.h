/// SHA-256 digests, for credentials and for recognising a repeated request body.
#pragma once

#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// Lower-case hexadecimal SHA-256 of `text`. May be called from any thread.
std::string sha256Hex(std::string_view text);

} // namespace WisteriaHill::Utils
