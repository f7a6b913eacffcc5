#include "utils/jsonbounds.h"

#include "utils/checkedjson.h"

namespace WisteriaHill::Utils {

namespace {

/// Counts what the parser reports, and ends it at the first bound that is exceeded.
class BoundsCounter : public nlohmann::json_sax<Json> {
public:
    explicit BoundsCounter(const JsonBounds& bounds)
        : bounds(bounds)
    {
    }

    const std::string& exceeded() const { return this->exceededText; }

    bool null() override { return this->countValue(); }
    bool boolean(bool) override { return this->countValue(); }
    bool number_integer(number_integer_t) override { return this->countValue(); }
    bool number_unsigned(number_unsigned_t) override { return this->countValue(); }
    bool number_float(number_float_t, const string_t&) override { return this->countValue(); }
    bool string(string_t&) override { return this->countValue(); }
    bool binary(binary_t&) override { return this->countValue(); }
    bool start_object(std::size_t) override { return this->begin(); }
    bool start_array(std::size_t) override { return this->begin(); }
    bool end_object() override { return this->end(); }
    bool end_array() override { return this->end(); }
    bool key(string_t&) override { return this->within(++this->members, this->bounds.members, "members of objects"); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    bool within(std::size_t count, std::size_t bound, const char* what)
    {
        if (count <= bound)
            return true;
        this->exceededText = "the document has more than " + std::to_string(bound) + ' ' + what;
        return false;
    }

    bool countValue() { return this->within(++this->values, this->bounds.values, "values"); }

    bool begin()
    {
        return this->countValue() && this->within(++this->containers, this->bounds.containers, "objects and arrays")
            && this->within(++this->depth, this->bounds.depth, "levels");
    }

    bool end()
    {
        --this->depth;
        return true;
    }

    const JsonBounds& bounds;
    std::size_t depth = 0;
    std::size_t containers = 0;
    std::size_t members = 0;
    std::size_t values = 0;
    std::string exceededText;
};

} // namespace

std::optional<std::string> exceededBound(std::string_view text, const JsonBounds& bounds)
{
    BoundsCounter counter(bounds);
    Json::sax_parse(text, &counter, Json::input_format_t::json, true, bounds.comments);
    return counter.exceeded().empty() ? std::nullopt : std::optional(counter.exceeded());
}

} // namespace WisteriaHill::Utils
