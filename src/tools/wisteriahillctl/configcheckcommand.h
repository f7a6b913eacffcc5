/// The command that checks a configuration document of the users' platform before it is sent.
#pragma once

#include "wisteriahillctl/commands.h"

namespace WisteriaHill::Ctl {

/// Exit statuses of the check; scripts use the numbers.
enum class CheckStatus {
    Clean = 0, ///< nothing found, and no difference from the version it is compared with
    Notable = 1, ///< warnings or differences
    Errors = 2, ///< also when the file cannot be read
    NoComparison = 3, ///< no error, but the version in force cannot be read
};

struct CheckOptions {
    std::string file;
    std::string against; ///< file with the version in force; empty for none
    bool live = false; ///< compare with the version that the daemon has in force
};

/// Prints findings and differences.
CheckStatus checkConfiguration(CommandContext context, const CheckOptions& options);

} // namespace WisteriaHill::Ctl
