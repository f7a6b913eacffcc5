#pragma once

#include <string>

/// Plays a kept history and checks that it breaks no rule.
void playHistory(const std::string& name);
