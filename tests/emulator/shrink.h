/// Makes a history that breaks a rule shorter.
#pragma once

#include "emulator/history.h"

#include <functional>
#include <vector>

namespace WisteriaHill::Emulator {

/// The rules that a play of the history breaks, by name.
std::vector<std::string> brokenRules(const History& history);

/// Drops steps while the history still breaks `rule`. `progress` is called with the number of steps that are left.
History shrinkHistory(
    const History& history, const std::string& rule, const std::function<void(std::size_t)>& progress);

} // namespace WisteriaHill::Emulator
