#include "utils/rendezvous.h"

#include <xxhash.h>

namespace WisteriaHill::Utils {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const XXH64_hash_t keyHash = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), keyHash);
}

} // namespace WisteriaHill::Utils
