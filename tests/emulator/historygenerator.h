/// Draws histories of faults from a seed.
#pragma once

#include "emulator/history.h"

namespace WisteriaHill::Emulator {

/// The same seed yields the same history.
History drawHistory(std::uint64_t seed);

} // namespace WisteriaHill::Emulator
