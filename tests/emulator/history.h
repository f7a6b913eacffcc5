/// A history of faults: what clients, the operator and the platform do, and when. Its text form is one step a line.
#pragma once

#include "scheduling/fleetjob.h"

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace WisteriaHill::Emulator {

using Utils::Duration;

/// The text is no history. what() begins with the file and the line.
class HistoryError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct FleetSize {
    int daemons = 3;
    int zones = 3;
    int servers = 6;
    Duration lease { 6000 }; ///< longest lease of a server
};

/// Arguments have the form that their verb demands; parseHistory() checks it.
struct Step {
    Duration at { 0 }; ///< from the start of the history
    std::string verb;
    std::map<std::string, std::string> arguments;

    bool has(const std::string& name) const { return this->arguments.contains(name); }
    /// Precondition for all: the step has the argument, of this kind.
    const std::string& text(const std::string& name) const { return this->arguments.at(name); }
    int number(const std::string& name) const { return std::stoi(this->arguments.at(name)); }
    Duration duration(const std::string& name) const { return Duration(std::stoll(this->arguments.at(name))); }
};

struct History {
    FleetSize fleet;
    Duration length { 0 }; ///< then all faults are healed
    std::vector<Step> steps; ///< by time
};

/// Throws HistoryError.
History parseHistory(const std::string& text, const std::string& fileName);
std::string formatHistory(const History& history);

/// The steps of a job as a submit step names them:
/// "COUNTxACCELERATORS:MILLISECONDS[:gang|lasting|checkpoint|after]...", separated by commas; "after" makes a step wait
/// for the one before it. Throws std::invalid_argument.
std::vector<Scheduling::StepSpecification> parseJobSteps(const std::string& text);

/// The numbers in a list such as "0+3+5". Throws std::invalid_argument.
std::vector<std::size_t> parseList(const std::string& text);

} // namespace WisteriaHill::Emulator
