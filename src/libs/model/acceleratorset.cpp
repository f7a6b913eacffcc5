#include "model/acceleratorset.h"

#include <bit>

namespace WisteriaHill::Model {

AcceleratorSet allAccelerators(std::uint32_t count) { return (AcceleratorSet { 1 } << count) - 1; }

std::uint32_t acceleratorCount(AcceleratorSet set) { return static_cast<std::uint32_t>(std::popcount(set)); }

std::uint32_t largestAlignedBlock(AcceleratorSet free)
{
    for (std::uint32_t size = maximumAcceleratorsPerServer; size > 0; size /= 2) {
        const AcceleratorSet block = allAccelerators(size);
        for (std::uint32_t start = 0; start < maximumAcceleratorsPerServer; start += size) {
            if ((free >> start & block) == block)
                return size;
        }
    }
    return 0;
}

std::optional<AcceleratorSet> alignedBlock(AcceleratorSet free, std::uint32_t count)
{
    const std::uint32_t alignment = std::bit_ceil(count);
    const AcceleratorSet block = allAccelerators(count);
    std::optional<AcceleratorSet> best;
    std::uint32_t bestRemaining = 0;
    for (std::uint32_t start = 0; start + count <= maximumAcceleratorsPerServer; start += alignment) {
        const AcceleratorSet candidate = block << start;
        if ((free & candidate) != candidate)
            continue;
        const std::uint32_t remaining = largestAlignedBlock(free & ~candidate);
        if (best && remaining <= bestRemaining)
            continue;
        best = candidate;
        bestRemaining = remaining;
    }
    return best;
}

} // namespace WisteriaHill::Model
