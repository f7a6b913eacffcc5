#include "utils/duration.h"
#include "wisteriahillctl/commands.h"
#include "wisteriahillctl/configcheckcommand.h"

#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

namespace {

using namespace WisteriaHill;
using Ctl::ExitStatus;

constexpr const char* usage = R"(wisteriahillctl - operates the wisteriahill scheduler

Usage:
  wisteriahillctl [options] request SERVICE [--body TEXT] [--key KEY] [--deadline TIME]
  wisteriahillctl [options] job submit FILE
  wisteriahillctl [options] job list
  wisteriahillctl [options] job show JOB
  wisteriahillctl [options] job watch JOB [--bound TIME]
  wisteriahillctl [options] job cancel JOB
  wisteriahillctl [options] job explain JOB
  wisteriahillctl [options] config show
  wisteriahillctl [options] config get SECTION
  wisteriahillctl [options] config put SECTION FILE [--version N]
  wisteriahillctl [options] config wait [--revision N] [--bound TIME]
  wisteriahillctl [options] config check FILE [--against FILE2 | --live]
  wisteriahillctl [options] drain SERVER
  wisteriahillctl [options] undrain SERVER
  wisteriahillctl [options] status
  wisteriahillctl [options] dump
  wisteriahillctl (-h | --help)

Options:
  --host ADDRESS          A daemon's address and port [default: 127.0.0.1:8100].
  --credential-file FILE  Holds the credential; without it, the variable WISTERIAHILL_CREDENTIAL is read.
  --json                  Print JSON documents instead of tables.
  --body TEXT             The request's body [default: ].
  --key KEY               The Idempotency-Key of a request that must run at most once.
  --deadline TIME         How long the caller waits, such as 2s.
  --version N             The section's version that the edit is based on; default is the current one.
  --revision N            The revision to wait for; default is the highest that is known.
  --against FILE2         The version in force, to show what differs.
  --live                  Compare with the version that the daemon has in force; --host is its metrics address.
  --bound TIME            The longest wait [default: 30s].
  -h --help               Show this text.

FILE may be - for standard input.
Exit status: 0 done, 1 unreachable, 2 usage, 3 refused or not run, 4 may have taken effect, 5 the wait's bound passed,
6 another edit was first. Of config check: 0 clean, 1 warnings or differences, 2 errors, 3 no version to compare with.
)";

using Arguments = std::map<std::string, docopt::value>;

int usageError(const std::string& reason)
{
    std::cerr << reason << '\n';
    return static_cast<int>(ExitStatus::Usage);
}

bool isGiven(const Arguments& arguments, const std::string& name)
{
    const docopt::value& value = arguments.at(name);
    return value.isBool() ? value.asBool() : static_cast<bool>(value);
}

std::string textOr(const Arguments& arguments, const std::string& name, const std::string& fallback)
{
    const docopt::value& value = arguments.at(name);
    return value.isString() ? value.asString() : fallback;
}

std::optional<std::uint64_t> numberOf(const std::string& text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<Model::PeerAddress> addressOf(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> port = numberOf(text.substr(colon + 1));
    if (!port || *port == 0 || *port > UINT16_MAX)
        return std::nullopt;
    return Model::PeerAddress { text.substr(0, colon), static_cast<std::uint16_t>(*port) };
}

std::string credentialFrom(const Arguments& arguments)
{
    std::string credential;
    if (isGiven(arguments, "--credential-file")) {
        std::ifstream file(arguments.at("--credential-file").asString());
        std::getline(file, credential);
        return credential;
    }
    const char* variable = std::getenv("WISTERIAHILL_CREDENTIAL");
    return variable ? variable : "";
}

ExitStatus runJobCommand(Ctl::CommandContext context, const Arguments& arguments, Utils::Duration bound)
{
    if (isGiven(arguments, "submit"))
        return Ctl::submitJob(context, arguments.at("FILE").asString());
    if (isGiven(arguments, "list"))
        return Ctl::listJobs(context);
    const std::string job = arguments.at("JOB").asString();
    if (isGiven(arguments, "show"))
        return Ctl::showJob(context, job);
    if (isGiven(arguments, "watch"))
        return Ctl::watchJob(context, job, bound);
    if (isGiven(arguments, "cancel"))
        return Ctl::cancelJob(context, job);
    return Ctl::explainJob(context, job);
}

ExitStatus runConfigCommand(Ctl::CommandContext context, const Arguments& arguments, Utils::Duration bound)
{
    if (isGiven(arguments, "show"))
        return Ctl::showConfiguration(context);
    if (isGiven(arguments, "get"))
        return Ctl::getSection(context, arguments.at("SECTION").asString());
    if (isGiven(arguments, "put")) {
        return Ctl::putSection(context,
            { .section = arguments.at("SECTION").asString(),
                .file = arguments.at("FILE").asString(),
                .version = numberOf(textOr(arguments, "--version", "")) });
    }
    return Ctl::waitForConfiguration(
        context, { .revision = numberOf(textOr(arguments, "--revision", "0")).value_or(0), .bound = bound });
}

ExitStatus runCommand(Ctl::CommandContext context, const Arguments& arguments, Utils::Duration bound)
{
    if (isGiven(arguments, "job"))
        return runJobCommand(context, arguments, bound);
    if (isGiven(arguments, "config"))
        return runConfigCommand(context, arguments, bound);
    if (isGiven(arguments, "drain") || isGiven(arguments, "undrain"))
        return Ctl::setDrained(context, arguments.at("SERVER").asString(), isGiven(arguments, "drain"));
    if (isGiven(arguments, "status"))
        return Ctl::showStatus(context);
    if (isGiven(arguments, "dump"))
        return Ctl::dumpState(context);
    return Ctl::sendRequest(context,
        { .service = arguments.at("SERVICE").asString(),
            .body = textOr(arguments, "--body", ""),
            .key = textOr(arguments, "--key", ""),
            .deadline = textOr(arguments, "--deadline", "") });
}

int runCheck(Ctl::CommandContext context, const Arguments& arguments)
{
    return static_cast<int>(Ctl::checkConfiguration(context,
        { .file = arguments.at("FILE").asString(),
            .against = textOr(arguments, "--against", ""),
            .live = isGiven(arguments, "--live") }));
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const Arguments arguments = docopt::docopt(usage, words, true);
    const std::optional<Model::PeerAddress> address = addressOf(arguments.at("--host").asString());
    if (!address)
        return usageError("--host must be an IP address and a port, such as 127.0.0.1:8100");
    const std::optional<Utils::Duration> bound = Utils::parseDuration(textOr(arguments, "--bound", "30s"));
    if (!bound)
        return usageError("--bound must be a duration such as 30s");
    Ctl::DaemonConnection daemon(*address, credentialFrom(arguments));
    if (isGiven(arguments, "check"))
        return runCheck({ daemon, arguments.at("--json").asBool() }, arguments);
    return static_cast<int>(runCommand({ daemon, arguments.at("--json").asBool() }, arguments, *bound));
}
