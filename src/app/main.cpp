#include "app/daemon.h"
#include "app/daemonsettings.h"
#include "app/fleetdaemon.h"
#include "utils/eventcatalogue.h"
#include "utils/eventlog.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace WisteriaHill;

constexpr const char* usage = R"(wisteriahilld - scheduler daemon of one entry host

Usage:
  wisteriahilld --settings FILE [--check]
  wisteriahilld --events
  wisteriahilld (-h | --help)
  wisteriahilld --version

Options:
  --settings FILE  Settings, JSON with comments (docs/SETTINGS.md).
  --check          Check the settings and exit.
  --events         Print the catalogue of log events as a table and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit status: 0 after a graceful stop, 1 when an address cannot be listened on, 2 when the settings have faults,
3 after a stop that an unexpected error caused.
)";

constexpr int exitOk = 0;
constexpr int exitCannotRun = 1;
constexpr int exitBadSettings = 2;
constexpr int exitUnexpectedError = 3;

int reportFaults(const Utils::JsonFaults& faults)
{
    std::cerr << Utils::formatFaults(faults);
    return exitBadSettings;
}

int serve(const App::DaemonSettings& settings)
{
    Utils::initialiseEventLog({ .processName = settings.host.value(), .level = settings.logLevel });
    try {
        App::Daemon daemon(settings);
        daemon.run();
    } catch (const std::runtime_error& error) {
        Utils::logEvent(Utils::Event::ListenFailed, error.what());
        return exitCannotRun;
    }
    return exitOk;
}

int serveFleet(const App::FleetSettings& settings, const std::string& path)
{
    Utils::initialiseEventLog({ .processName = settings.node, .level = settings.logLevel, .structured = true });
    try {
        App::FleetDaemon daemon(settings, path);
        const bool expected = daemon.run();
        // Every response is written by now, or the stop bound is near. Destroying libwebsockets' context would wait for
        // connections that servers keep open; the system closes them with the process.
        std::cout.flush();
        std::_Exit(expected ? exitOk : exitUnexpectedError);
    } catch (const std::runtime_error& error) {
        Utils::logStructured(Utils::Event::ListenFailed, { { "reason", error.what() } });
        return exitCannotRun;
    }
    return exitOk;
}

int checkAndServeFleet(const std::string& text, const std::string& path, bool checkOnly)
{
    const auto settings = App::parseFleetSettings(text);
    if (const auto* faults = std::get_if<Utils::JsonFaults>(&settings))
        return reportFaults(*faults);
    if (checkOnly) {
        std::cout << "the settings are well formed\n";
        return exitOk;
    }
    return serveFleet(std::get<App::FleetSettings>(settings), path);
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto arguments = docopt::docopt(usage, words, true, "wisteriahilld 0.1.0");
    if (arguments.at("--events").asBool()) {
        std::cout << Utils::eventCatalogueMarkdown();
        return exitOk;
    }
    const auto text = App::readTextFile(arguments.at("--settings").asString());
    if (const auto* fault = std::get_if<Utils::JsonFault>(&text))
        return reportFaults({ *fault });
    if (App::isFleetSettings(std::get<std::string>(text)))
        return checkAndServeFleet(
            std::get<std::string>(text), arguments.at("--settings").asString(), arguments.at("--check").asBool());
    const auto settings = App::parseDaemonSettings(std::get<std::string>(text));
    if (const auto* faults = std::get_if<Utils::JsonFaults>(&settings))
        return reportFaults(*faults);
    if (arguments.at("--check").asBool()) {
        std::cout << "the settings are well formed\n";
        return exitOk;
    }
    return serve(std::get<App::DaemonSettings>(settings));
}
