/// The result type of operations that can fail, and a visitor for variants.
#pragma once

#include <variant>

namespace WisteriaHill::Utils {

/// A value, or the error that prevented it.
template <typename Value, typename Error> using Result = std::variant<Value, Error>;

/// A visitor for std::visit that combines lambdas.
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace WisteriaHill::Utils
