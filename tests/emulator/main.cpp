#include "emulator/emulator.h"
#include "emulator/historygenerator.h"
#include "emulator/shrink.h"

#include <algorithm>
#include <chrono>
#include <docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace WisteriaHill::Emulator;

constexpr const char* usage = R"(Plays histories of faults on real schedulers, on a fake clock.

Usage:
  emulator run --seed=N [--log | --daemon-log]
  emulator search --first-seed=N [--histories=N] [--minutes=N] [--keep=DIR] [--until=RULE]
  emulator replay FILE [--log | --daemon-log]
  emulator shrink FILE [--out=FILE]
  emulator print --seed=N
  emulator --help

Commands:
  run       Draws the history of a seed and plays it.
  search    Plays the histories of successive seeds, for N histories or N minutes.
  replay    Plays a history file.
  shrink    Drops steps of a history file while it still breaks the first rule that it breaks.
  print     Prints the history of a seed as a file.

Options:
  --seed=N        Seed of the history.
  --first-seed=N  Seed of the first history.
  --histories=N   Number of histories.
  --minutes=N     Time of the search.
  --keep=DIR      Writes histories that break a rule to this folder, as SEED.history.
  --until=RULE    Ends the search with the first history that breaks this rule.
  --log           Prints each step and each event of a run.
  --daemon-log    Prints these and all that the daemons log.
  --out=FILE      Where the shorter history is written; standard output by default.
)";

class UsageError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

std::uint64_t numberOf(const std::map<std::string, docopt::value>& arguments, const std::string& name)
{
    const std::string text = arguments.at(name).asString();
    std::size_t used = 0;
    try {
        const std::uint64_t number = std::stoull(text, &used);
        if (used == text.size() && text.front() != '-')
            return number;
    } catch (const std::logic_error&) { // NOLINT(bugprone-empty-catch): reported below
    }
    throw UsageError(name + ": \"" + text + "\" is not a number");
}

History readHistory(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        throw HistoryError(file + ": cannot be read");
    std::ostringstream text;
    text << stream.rdbuf();
    return parseHistory(text.str(), file);
}

bool play(const History& history, const std::map<std::string, docopt::value>& arguments)
{
    Emulator emulator(history);
    const auto print = [](const std::string& line) { std::cout << line << "\n"; };
    if (arguments.at("--log").asBool() || arguments.at("--daemon-log").asBool())
        emulator.onEvent(print);
    if (arguments.at("--daemon-log").asBool())
        emulator.onDaemonLog(print);
    const Outcome outcome = emulator.play();
    std::cout << history.steps.size() << " steps, " << outcome.played.count() << " ms, " << outcome.starts
              << " starts, " << outcome.leaders << " leaders, digest " << std::hex << outcome.digest << std::dec
              << "\n";
    for (const std::string& violation : outcome.violations)
        std::cout << "BROKEN " << violation << "\n";
    return outcome.violations.empty();
}

bool search(const std::map<std::string, docopt::value>& arguments)
{
    using Clock = std::chrono::steady_clock;
    const std::uint64_t first = numberOf(arguments, "--first-seed");
    const bool isTimed = static_cast<bool>(arguments.at("--minutes"));
    if (!isTimed && !arguments.at("--histories"))
        throw UsageError("search needs --histories or --minutes");
    const auto end = Clock::now() + std::chrono::minutes(isTimed ? numberOf(arguments, "--minutes") : 0);
    const std::uint64_t bound
        = arguments.at("--histories") ? numberOf(arguments, "--histories") : std::numeric_limits<std::uint64_t>::max();
    const auto begin = Clock::now();
    double virtualSeconds = 0;
    std::size_t steps = 0;
    std::uint64_t broken = 0;
    std::uint64_t played = 0;
    constexpr std::uint64_t reportInterval = 100;
    const auto report = [&]() {
        const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
        std::cout << played << " histories, " << steps << " steps, " << broken << " broken, " << std::fixed
                  << std::setprecision(0) << virtualSeconds / seconds << " virtual seconds a second, "
                  << static_cast<double>(played) * 60 / seconds << " histories a minute" << std::endl;
    };
    const auto isFound = [&](const Outcome& outcome) {
        return arguments.at("--until") && std::ranges::any_of(outcome.violations, [&](const std::string& violation) {
            return violation.starts_with(arguments.at("--until").asString() + " ");
        });
    };
    while (played < bound && (!isTimed || Clock::now() < end)) {
        const std::uint64_t seed = first + played;
        const History history = drawHistory(seed);
        const Outcome outcome = Emulator(history).play();
        ++played;
        steps += history.steps.size();
        virtualSeconds += std::chrono::duration<double>(outcome.played).count();
        if (!outcome.violations.empty()) {
            ++broken;
            std::cout << "seed " << seed << ": BROKEN " << outcome.violations.front() << std::endl;
            if (arguments.at("--keep"))
                std::ofstream(arguments.at("--keep").asString() + "/" + std::to_string(seed) + ".history")
                    << formatHistory(history);
            if (isFound(outcome))
                break;
        }
        if (played % reportInterval == 0)
            report();
    }
    report();
    return broken == 0;
}

void shrink(const std::map<std::string, docopt::value>& arguments)
{
    const History history = readHistory(arguments.at("FILE").asString());
    const std::vector<std::string> rules = brokenRules(history);
    if (rules.empty())
        throw UsageError("the history breaks no rule");
    const History shorter = shrinkHistory(
        history, rules.front(), [](std::size_t left) { std::cerr << left << " steps are left" << std::endl; });
    if (arguments.at("--out"))
        std::ofstream(arguments.at("--out").asString()) << formatHistory(shorter);
    else
        std::cout << formatHistory(shorter);
}

bool perform(const std::map<std::string, docopt::value>& arguments)
{
    if (arguments.at("run").asBool())
        return play(drawHistory(numberOf(arguments, "--seed")), arguments);
    if (arguments.at("search").asBool())
        return search(arguments);
    if (arguments.at("replay").asBool())
        return play(readHistory(arguments.at("FILE").asString()), arguments);
    if (arguments.at("print").asBool()) {
        std::cout << formatHistory(drawHistory(numberOf(arguments, "--seed")));
        return true;
    }
    shrink(arguments);
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int brokenStatus = 1;
    constexpr int usageStatus = 2;
    try {
        return perform(docopt::docopt(usage, { argv + 1, argv + argc }, true)) ? 0 : brokenStatus;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return usageStatus;
    }
}
