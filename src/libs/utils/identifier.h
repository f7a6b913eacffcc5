/// Strongly typed string identifiers, so that the id of a server cannot be passed where the id of an account is
/// expected.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace WisteriaHill::Utils {

/// A string that identifies an object of one type; `Tag` is an incomplete type that distinguishes the types of
/// identifiers. Thread safety: as std::string.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : text(std::move(text))
    {
    }

    const std::string& value() const { return this->text; }
    bool empty() const { return this->text.empty(); }

    auto operator<=>(const Identifier&) const = default; // NOLINT(modernize-use-nullptr): false alarm on <=>

    /// For cereal: an identifier is serialised as its text.
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
