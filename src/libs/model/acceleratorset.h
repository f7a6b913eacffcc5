/// Sets of accelerators within one backend server, and the aligned blocks of them that are allocated to gangs.
#pragma once

#include <cstdint>
#include <optional>

namespace WisteriaHill::Model {

/// Bit n represents accelerator n of a backend server.
using AcceleratorSet = std::uint32_t;

constexpr std::uint32_t maximumAcceleratorsPerServer = 16;

/// Returns all accelerators of a server with `count` of them. Precondition: count <= maximumAcceleratorsPerServer.
AcceleratorSet allAccelerators(std::uint32_t count);

std::uint32_t acceleratorCount(AcceleratorSet set);

/// Returns the size of the largest aligned power-of-two block in `free`; zero when `free` is empty.
std::uint32_t largestAlignedBlock(AcceleratorSet free);

/// Chooses `count` adjacent accelerators of `free`, aligned to the next power of two, so that the largest aligned
/// block that remains free is as large as possible. Returns nothing when no block fits. Precondition: count > 0.
std::optional<AcceleratorSet> alignedBlock(AcceleratorSet free, std::uint32_t count);

} // namespace WisteriaHill::Model
