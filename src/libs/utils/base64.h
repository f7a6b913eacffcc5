/// Base64 encoding, for bytes in JSON text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

std::string toBase64(std::string_view bytes);

/// Returns nothing when the text is not valid base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace WisteriaHill::Utils
