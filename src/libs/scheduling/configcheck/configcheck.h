/// Checks a configuration before it is sent: what is wrong in it, and what can't do what it seems to say.
#pragma once

#include "scheduling/fleetconfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::ConfigCheck {

enum class Severity {
    Warning, ///< the configuration works, but an entry has no effect or not the one that it seems to have
    Error, ///< calls or jobs would be refused, misdirected or late whatever the load
};

enum class Section { Document, Queues, Services, Accounts };

/// The member of an entry that a finding is about.
enum class Member {
    Whole,
    Version,
    MaximumBody,
    Name,
    Host,
    PathPrefix,
    Service,
    Priority,
    MaximumAttempts,
    StretchFactor,
    TargetDuration,
    Timeout,
    Advice,
    Keys,
    Guarantee,
};

/// Where in the document a finding lies.
struct Place {
    Section section = Section::Document;
    std::optional<std::size_t> entry {}; ///< position in its section, from 0; unset for the section or the document
    Member member = Member::Whole;

    bool operator==(const Place&) const = default;
};

struct Finding {
    Severity severity = Severity::Error;
    Place place;
    std::string reason;
};

/// Accelerators of the backend servers of each service, where that is known.
using KnownAccelerators = std::map<std::string, std::int64_t>;

/// All findings, in the order of the document's sections. Any thread.
std::vector<Finding> check(const FleetConfiguration& configuration, const KnownAccelerators& accelerators = {});

} // namespace WisteriaHill::Scheduling::ConfigCheck
