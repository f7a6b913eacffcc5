/// Sets of accelerators within one backend server, and the aligned blocks that gangs are given.
#pragma once

#include <cstdint>
#include <optional>

namespace WisteriaHill::Model {

/// Bit n stands for accelerator n of a backend server.
using AcceleratorSet = std::uint32_t;

constexpr std::uint32_t maximumAcceleratorsPerServer = 16;

/// All accelerators of a server that has `count` of them. Precondition: count <= maximumAcceleratorsPerServer.
AcceleratorSet allAccelerators(std::uint32_t count);

/// How many accelerators are in the set.
std::uint32_t acceleratorCount(AcceleratorSet set);

/// The size of the largest aligned power-of-two block in `free`; zero when it is empty.
std::uint32_t largestAlignedBlock(AcceleratorSet free);

/// `count` accelerators of `free`, aligned to the next power of two, from the block whose use leaves the largest
/// remaining block. Empty when none fits. Precondition: count > 0.
std::optional<AcceleratorSet> alignedBlock(AcceleratorSet free, std::uint32_t count);

} // namespace WisteriaHill::Model
