/// The scenario language: one command per line, '#' starts a comment. docs/SCENARIOS.md lists the commands.
#pragma once

#include <string>
#include <vector>

namespace WisteriaHill::Tests {

/// Runs a scenario on a fresh fleet. Returns the failed expectations and the violated invariants, with line numbers.
/// Throws a std::exception when a command is malformed.
std::vector<std::string> runScenario(const std::string& text);

} // namespace WisteriaHill::Tests
