/// Rendezvous hashing: agreement on who does a thing without talking about it.
#pragma once

#include <cstdint>
#include <string_view>

namespace WisteriaHill::Utils {

/// The weight of `candidate` for `key`; the candidate with the highest weight wins.
/// Pure; may be called from any thread.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace WisteriaHill::Utils
