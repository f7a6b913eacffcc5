/// Validating reader for JSON documents. It collects every fault with its path instead of stopping at the first.
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

/// A fault in a document.
struct JsonFault {
    std::string path; ///< path of the faulty member, such as /listen/port
    std::string reason;

    bool operator==(const JsonFault&) const = default;
};

using JsonFaults = std::vector<JsonFault>;

/// Returns one line "path: reason" for each fault.
std::string formatFaults(const JsonFaults& faults);

/// Parses JSON text that may contain `//` and `/* */` comments. Adds a fault and returns nothing when that fails.
std::optional<Json> parseJsonText(std::string_view text, JsonFaults& faults);

/// Inclusive bounds of an integer.
struct IntegerRange {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

/// Inclusive bounds of a duration.
struct DurationRange {
    Duration low { 0 };
    Duration high { 0 };
};

/// Reads the members of one JSON object. A required member that is missing adds a fault, as does a member that has
/// another type or is out of range; the read then returns a default. finish() reports all members that were not read as
/// unknown. The document and the list of faults must outlive the reader. Thread safety: none.
class JsonObjectReader {
public:
    JsonObjectReader(const Json& object, std::string path, JsonFaults& faults);

    std::string text(const std::string& name);
    std::string textOr(const std::string& name, std::string fallback);
    /// Reads 1 to 128 letters, digits, '.', '_' and '-'.
    std::string identifier(const std::string& name);
    std::int64_t integer(const std::string& name, IntegerRange range);
    std::int64_t integerOr(const std::string& name, IntegerRange range, std::int64_t fallback);
    double numberOr(const std::string& name, double low, double high, double fallback);
    bool booleanOr(const std::string& name, bool fallback);
    Duration duration(const std::string& name, DurationRange range);
    Duration durationOr(const std::string& name, DurationRange range, Duration fallback);
    std::vector<std::string> textArray(const std::string& name);

    /// Calls `read` for a member that is an object; optionalObject() does nothing when the member is missing.
    void object(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    void optionalObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    /// Calls `read` for each object in a member that is an array.
    void forEachObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read);
    /// Calls `read` for each member of this object, with its name. All members have to be objects.
    void forEachMember(const std::function<void(const std::string&, JsonObjectReader&)>& read);

    /// Adds a fault at the member `name`, or at this object when `name` is empty.
    void fault(const std::string& name, std::string reason);
    bool has(const std::string& name) const;

    /// Adds a fault for every member that was not read. Call it once, after all reads.
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

/// Returns the document as text. Replaces bytes that are not UTF-8, so that it never throws because of them.
std::string toText(const Json& document, int indent = -1);

/// True for text that may be an identifier in documents and URLs: 1 to 128 letters, digits, '.', '_' and '-'.
bool isIdentifier(std::string_view text);

} // namespace WisteriaHill::Utils
