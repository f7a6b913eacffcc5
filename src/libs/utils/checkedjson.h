/// Reads JSON documents member by member and collects every fault with its path, instead of stopping at the first.
#pragma once

#include "utils/duration.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace WisteriaHill::Utils {

using Json = nlohmann::json;

/// One fault in a document.
struct JsonFault {
    std::string path; ///< such as /listen/port
    std::string reason;

    bool operator==(const JsonFault&) const = default;
};

using JsonFaults = std::vector<JsonFault>;

/// The faults one a line, "path: reason".
std::string formatFaults(const JsonFaults& faults);

/// Parses text with `//` and `/* */` comments; on failure adds a fault and returns nothing.
std::optional<Json> parseJsonText(std::string_view text, JsonFaults& faults);

/// Inclusive bounds of a number.
struct IntegerRange {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

/// Inclusive bounds of a duration.
struct DurationRange {
    Duration low { 0 };
    Duration high { 0 };
};

/// Reads the members of one JSON object. Each read names a member that the object may have; finish() reports the rest
/// as unknown. The referenced document and fault list must outlive the reader. Thread safety: none.
class JsonObjectReader {
public:
    JsonObjectReader(const Json& object, std::string path, JsonFaults& faults);

    std::string text(const std::string& name);
    std::string textOr(const std::string& name, std::string fallback);
    /// Text that holds at least one character and only letters, digits, '.', '_' and '-'.
    std::string identifier(const std::string& name);
    std::int64_t integer(const std::string& name, IntegerRange range);
    std::int64_t integerOr(const std::string& name, IntegerRange range, std::int64_t fallback);
    double numberOr(const std::string& name, double low, double high, double fallback);
    bool booleanOr(const std::string& name, bool fallback);
    Duration duration(const std::string& name, DurationRange range);
    Duration durationOr(const std::string& name, DurationRange range, Duration fallback);
    std::vector<std::string> textArray(const std::string& name);

    /// Calls `read` for an object member; does nothing when an optional one is absent.
    void object(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    void optionalObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    /// Calls `read` for each object in an array.
    void forEachObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    /// Calls `read` for each member of this object itself.
    void forEachMember(const std::function<void(const std::string&, JsonObjectReader&)>& read);

    /// Adds a fault at the member `name`, or at the object itself when it is empty.
    void fault(const std::string& name, std::string reason);
    bool has(const std::string& name) const;

    /// Reports every member that was never read. Call once, last.
    void finish();

private:
    const Json* find(const std::string& name);
    const Json* require(const std::string& name);
    std::string pathOf(const std::string& name) const;
    std::int64_t checkedInteger(const std::string& name, const Json& value, IntegerRange range);
    Duration checkedDuration(const std::string& name, const Json& value, DurationRange range);

    const Json& document;
    std::string path;
    JsonFaults& faults;
    std::vector<std::string> known;
};

/// The document as text; bytes that are not UTF-8 are replaced, so that this never throws.
std::string toText(const Json& document, int indent = -1);

/// True for the characters that identifiers in documents and URLs are made of.
bool isIdentifier(std::string_view text);

} // namespace WisteriaHill::Utils
