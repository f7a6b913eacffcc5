/// SHA-256 digests, for credentials and for the detection of repeated requests.
#pragma once

#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// Returns the SHA-256 digest of `text` in lower-case hexadecimal digits. May be called from any thread.
std::string sha256Hex(std::string_view text);

} // namespace WisteriaHill::Utils
