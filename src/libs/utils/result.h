/// Results that are either a value or a typed error.
#pragma once

#include <variant>

namespace WisteriaHill::Utils {

/// A value or the error that stands in its place.
template <typename Value, typename Error> using Result = std::variant<Value, Error>;

/// A visitor made of lambdas.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace WisteriaHill::Utils
