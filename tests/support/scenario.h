/// The scenario language: one command a line, '#' starts a comment. docs/SCENARIOS.md lists the commands.
#pragma once

#include <string>
#include <vector>

namespace WisteriaHill::Tests {

/// Runs a scenario on a fresh fleet. Returns what did not hold, with line numbers; empty if all held.
std::vector<std::string> runScenario(const std::string& text);

} // namespace WisteriaHill::Tests
