/// The daemon's settings file: JSON with comments (docs/SETTINGS.md).
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
    Model::PeerAddress callers;
    Model::PeerAddress peers;
    Model::PeerAddress platform;
    std::vector<Model::PeerAddress> seeds;
    std::string bootstrapTeam;
    std::string bootstrapCredentialSha256;
    Utils::Duration stopNotice { 0 };
    Utils::Duration stopBound { 0 };
    std::string logLevel;
};

/// Reads and checks settings; on failure every fault with its path. Pure; any thread.
Utils::Result<DaemonSettings, Utils::JsonFaults> parseDaemonSettings(std::string_view text);

/// The text of a file, or a fault when it can't be read.
Utils::Result<std::string, Utils::JsonFault> readTextFile(const std::string& path);

} // namespace WisteriaHill::App
