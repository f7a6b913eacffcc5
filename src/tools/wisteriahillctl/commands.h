/// The commands of the tool, one function each.
#pragma once

#include "utils/steadytime.h"
#include "wisteriahillctl/daemonconnection.h"

#include <optional>
#include <string>

namespace WisteriaHill::Ctl {

/// Exit statuses that scripts can use.
enum class ExitStatus {
    Ok = 0,
    Unreachable = 1,
    Usage = 2,
    Refused = 3, ///< not run, or bad input
    Unknown = 4, ///< it may have taken effect
    WaitTimedOut = 5, ///< the wait's bound passed first
    Conflict = 6, ///< another edit was first
};

/// What all commands share.
struct CommandContext {
    DaemonConnection& daemon;
    bool json = false; ///< print documents for machines
};

struct RequestOptions {
    std::string service;
    std::string body;
    std::string key;
    std::string deadline;
};

struct PutOptions {
    std::string section;
    std::string file;
    std::optional<std::uint64_t> version; ///< the present one when empty
};

struct WaitOptions {
    std::uint64_t revision = 0; ///< the highest that any host has when zero
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
