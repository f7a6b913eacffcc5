/// Rendezvous hashing, by which processes agree on who is responsible for a key without communication.
#pragma once

#include <cstdint>
#include <string_view>

namespace WisteriaHill::Utils {

/// Returns the weight of `candidate` for `key`. The candidate with the highest weight is responsible for the key. The
/// result is the same in every process. May be called from any thread.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace WisteriaHill::Utils
