/// Strongly typed string identifiers, so that a server name is never passed where an account is expected.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace WisteriaHill::Utils {

/// A string that names one kind of thing; `Tag` is an incomplete type that tells the kinds apart.
/// Thread safety: as std::string.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : text(std::move(text))
    {
    }

    /// The text as given on construction.
    const std::string& value() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    auto operator<=>(const Identifier&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>

    /// cereal: an identifier travels as its text.
    template <typename Archive> void serialize(Archive& archive) { archive(this->text); }

    template <typename Json> friend void to_json(Json& json, const Identifier& id) { json = id.text; }
    template <typename Json> friend void from_json(const Json& json, Identifier& id) { json.get_to(id.text); }

private:
    std::string text;
};

} // namespace WisteriaHill::Utils

template <typename Tag> struct std::hash<WisteriaHill::Utils::Identifier<Tag>> {
    std::size_t operator()(const WisteriaHill::Utils::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
