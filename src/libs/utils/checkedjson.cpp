#include "utils/checkedjson.h"

#include <algorithm>

namespace WisteriaHill::Utils {

namespace {

constexpr std::size_t maximumIdentifierLength = 128;

const Json& emptyObject()
{
    static const Json empty = Json::object();
    return empty;
}

bool isIdentifierCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '.' || character == '_' || character == '-';
}

} // namespace

std::string formatFaults(const JsonFaults& faults)
{
    std::string text;
    for (const JsonFault& fault : faults)
        text += fault.path + ": " + fault.reason + "\n";
    return text;
}

std::optional<Json> parseJsonText(std::string_view text, JsonFaults& faults)
{
    try {
        return Json::parse(text, nullptr, true, true);
    } catch (const Json::exception& error) {
        faults.push_back({ "/", error.what() });
        return std::nullopt;
    }
}

std::string toText(const Json& document, int indent)
{
    return document.dump(indent, ' ', false, Json::error_handler_t::replace);
}

bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= maximumIdentifierLength && std::ranges::all_of(text, isIdentifierCharacter);
}

JsonObjectReader::JsonObjectReader(const Json& object, std::string path, JsonFaults& faults)
    : document(object.is_object() ? object : emptyObject())
    , path(std::move(path))
    , faults(faults)
{
    if (!object.is_object())
        this->fault({}, "must be an object");
}

std::string JsonObjectReader::pathOf(const std::string& name) const
{
    if (name.empty())
        return this->path.empty() ? "/" : this->path;
    return this->path + "/" + name;
}

void JsonObjectReader::fault(const std::string& name, std::string reason)
{
    this->faults.push_back({ this->pathOf(name), std::move(reason) });
}

bool JsonObjectReader::has(const std::string& name) const { return this->document.contains(name); }

const Json* JsonObjectReader::find(const std::string& name)
{
    this->known.push_back(name);
    const auto found = this->document.find(name);
    return found == this->document.end() ? nullptr : &*found;
}

const Json* JsonObjectReader::require(const std::string& name)
{
    const Json* value = this->find(name);
    if (!value)
        this->fault(name, "is missing");
    return value;
}

std::string JsonObjectReader::text(const std::string& name)
{
    const Json* value = this->require(name);
    if (!value)
        return {};
    if (!value->is_string()) {
        this->fault(name, "must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonObjectReader::textOr(const std::string& name, std::string fallback)
{
    return this->has(name) ? this->text(name) : (this->known.push_back(name), std::move(fallback));
}

std::string JsonObjectReader::identifier(const std::string& name)
{
    const bool present = this->has(name);
    std::string value = this->text(name);
    if (present && this->document[name].is_string() && !isIdentifier(value))
        this->fault(name, "must be 1 to 128 letters, digits, '.', '_' or '-'");
    return value;
}

std::int64_t JsonObjectReader::checkedInteger(const std::string& name, const Json& value, IntegerRange range)
{
    const bool fits = value.is_number_integer()
        && !(value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
    if (!fits) {
        this->fault(name, "must be a whole number");
        return range.low;
    }
    const auto number = value.get<std::int64_t>();
    if (number < range.low || number > range.high) {
        this->fault(name, "must be from " + std::to_string(range.low) + " to " + std::to_string(range.high));
        return range.low;
    }
    return number;
}

std::int64_t JsonObjectReader::integer(const std::string& name, IntegerRange range)
{
    const Json* value = this->require(name);
    return value ? this->checkedInteger(name, *value, range) : range.low;
}

std::int64_t JsonObjectReader::integerOr(const std::string& name, IntegerRange range, std::int64_t fallback)
{
    const Json* value = this->find(name);
    return value ? this->checkedInteger(name, *value, range) : fallback;
}

double JsonObjectReader::numberOr(const std::string& name, double low, double high, double fallback)
{
    const Json* value = this->find(name);
    if (!value)
        return fallback;
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        this->fault(name, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return value->get<double>();
}

bool JsonObjectReader::booleanOr(const std::string& name, bool fallback)
{
    const Json* value = this->find(name);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        this->fault(name, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

Duration JsonObjectReader::checkedDuration(const std::string& name, const Json& value, DurationRange range)
{
    const std::optional<Duration> duration = value.is_string() ? parseDuration(value.get<std::string>()) : std::nullopt;
    if (!duration) {
        this->fault(name, "must be a duration such as \"250ms\", \"2s\" or \"5min\"");
        return range.low;
    }
    if (*duration < range.low || *duration > range.high) {
        this->fault(name, "must be from " + formatDuration(range.low) + " to " + formatDuration(range.high));
        return range.low;
    }
    return *duration;
}

Duration JsonObjectReader::duration(const std::string& name, DurationRange range)
{
    const Json* value = this->require(name);
    return value ? this->checkedDuration(name, *value, range) : range.low;
}

Duration JsonObjectReader::durationOr(const std::string& name, DurationRange range, Duration fallback)
{
    const Json* value = this->find(name);
    return value ? this->checkedDuration(name, *value, range) : fallback;
}

std::vector<std::string> JsonObjectReader::textArray(const std::string& name)
{
    const Json* value = this->require(name);
    if (!value)
        return {};
    const bool wellTyped
        = value->is_array() && std::ranges::all_of(*value, [](const Json& item) { return item.is_string(); });
    if (!wellTyped) {
        this->fault(name, "must be an array of strings");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

void JsonObjectReader::object(const std::string& name, const std::function<void(JsonObjectReader&)>& read)
{
    const Json* value = this->require(name);
    if (!value)
        return;
    JsonObjectReader reader(*value, this->pathOf(name), this->faults);
    read(reader);
    reader.finish();
}

void JsonObjectReader::optionalObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read)
{
    if (this->has(name))
        this->object(name, read);
}

void JsonObjectReader::forEachMember(const std::function<void(const std::string&, JsonObjectReader&)>& read)
{
    for (const auto& [key, value] : this->document.items()) {
        this->known.push_back(key);
        if (!isIdentifier(key))
            this->fault(key, "must be named by 1 to 128 letters, digits, '.', '_' or '-'");
        JsonObjectReader reader(value, this->pathOf(key), this->faults);
        read(key, reader);
        reader.finish();
    }
}

void JsonObjectReader::forEachObject(const std::string& name, const std::function<void(JsonObjectReader&)>& read)
{
    const Json* value = this->require(name);
    if (!value)
        return;
    if (!value->is_array()) {
        this->fault(name, "must be an array of objects");
        return;
    }
    std::size_t index = 0;
    for (const Json& item : *value) {
        JsonObjectReader reader(item, this->pathOf(name) + "/" + std::to_string(index++), this->faults);
        read(reader);
        reader.finish();
    }
}

void JsonObjectReader::finish()
{
    for (const auto& [key, value] : this->document.items()) {
        if (std::ranges::find(this->known, key) == this->known.end())
            this->fault(key, "is unknown");
    }
}

} // namespace WisteriaHill::Utils
