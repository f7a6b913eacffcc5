/// Bounds on JSON text that others wrote, checked before a document is built from it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace WisteriaHill::Utils {

/// What a document may consist of. A value of JSON text needs many times its size in memory.
struct JsonBounds {
    std::size_t depth = 32; ///< containers within one another
    std::size_t containers = 8192; ///< objects and arrays
    std::size_t members = 65'536; ///< of all objects
    std::size_t values = 600'000; ///< elements of all arrays, and members
    bool comments = false; ///< the text may contain comments
};

/// Reads the text without building a document, in memory that grows with its depth and its longest string only. Returns
/// the bound that it exceeds; std::nullopt when it exceeds none, and for text that is not JSON, which only the parser
/// explains. May be called from any thread.
std::optional<std::string> exceededBound(std::string_view text, const JsonBounds& bounds = {});

} // namespace WisteriaHill::Utils
