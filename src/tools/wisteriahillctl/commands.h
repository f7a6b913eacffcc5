/// The commands of the tool, one function each. Results go to standard output, as does the body of a refusal when a
/// command prints responses unchanged; other errors go to standard error.
#pragma once

#include "utils/steadytime.h"
#include "wisteriahillctl/daemonconnection.h"

#include <optional>
#include <string>

namespace WisteriaHill::Ctl {

/// Exit statuses of the tool; scripts use the numbers.
enum class ExitStatus {
    Ok = 0,
    Unreachable = 1,
    Usage = 2,
    Refused = 3, ///< the command was not run, its input is invalid, or the watched job did not succeed
    Unknown = 4, ///< the command may have taken effect
    WaitTimedOut = 5, ///< the wait ended at its bound
    Conflict = 6, ///< another edit was stored first
};

/// What all commands share.
struct CommandContext {
    DaemonConnection& daemon;
    bool json = false; ///< print JSON documents instead of tables
};

struct RequestOptions {
    std::string service;
    std::string body;
    std::string key; ///< idempotency key; none when empty
    std::string deadline; ///< a duration such as 2s; none when empty
};

struct PutOptions {
    std::string section;
    std::string file;
    std::optional<std::uint64_t> version; ///< that the edit is based on; the current one when empty
};

struct WaitOptions {
    std::uint64_t revision = 0; ///< to wait for; zero for the highest of any host
    Utils::Duration bound { 0 };
};

ExitStatus sendRequest(CommandContext context, const RequestOptions& options);
ExitStatus submitJob(CommandContext context, const std::string& file);
ExitStatus showJob(CommandContext context, const std::string& job);
ExitStatus watchJob(CommandContext context, const std::string& job, Utils::Duration bound);
ExitStatus cancelJob(CommandContext context, const std::string& job);
ExitStatus explainJob(CommandContext context, const std::string& job);
ExitStatus listJobs(CommandContext context);
ExitStatus showConfiguration(CommandContext context);
ExitStatus getSection(CommandContext context, const std::string& section);
ExitStatus putSection(CommandContext context, const PutOptions& options);
ExitStatus waitForConfiguration(CommandContext context, const WaitOptions& options);
ExitStatus setDrained(CommandContext context, const std::string& server, bool drained);
ExitStatus dumpState(CommandContext context);
ExitStatus showStatus(CommandContext context);

} // namespace WisteriaHill::Ctl
