/// Settings of the daemon in daemon.h, a file of JSON with comments (docs/SETTINGS.md).
#pragma once

#include "model/ids.h"
#include "model/peermessage.h"
#include "utils/checkedjson.h"
#include "utils/result.h"
#include "utils/steadytime.h"

#include <string>
#include <string_view>
#include <vector>

namespace WisteriaHill::App {

struct DaemonSettings {
    Model::EntryHostId host;
    Model::AvailabilityZoneId zone;
    Model::PeerAddress callers; ///< listens for callers and operators
    Model::PeerAddress peers; ///< listens for other daemons
    Model::PeerAddress platform; ///< of the platform's table service and host list
    std::vector<Model::PeerAddress> seeds; ///< other daemons to contact first
    std::string bootstrapTeam;
    std::string bootstrapCredentialSha256;
    Utils::Duration stopNotice { 0 }; ///< time for the balancer to notice that this host is not ready
    Utils::Duration stopBound { 0 }; ///< longest time of a graceful stop
    std::string logLevel; ///< information, warning or error
};

/// Parses and checks settings; on failure returns every fault with its path. Pure; may run on any thread.
Utils::Result<DaemonSettings, Utils::JsonFaults> parseDaemonSettings(std::string_view text);

/// Reads a file; returns a fault with its path when it cannot be opened.
Utils::Result<std::string, Utils::JsonFault> readTextFile(const std::string& path);

} // namespace WisteriaHill::App
