/// Configuration documents for tests.
#pragma once

#include "model/configuration.h"

namespace WisteriaHill::Tests {

struct ZoneDocumentOptions {
    std::string zone = "akl";
    std::uint32_t servers = 4;
    std::uint32_t serversPerRack = 8;
    std::uint32_t spareServers = 0;
    std::uint32_t entryHosts = 3;
};

/// Accounts "large" and "small" with credentials "large-secret" and "small-secret", services "score" (idempotent) and
/// "reprice" (not idempotent), and one zone whose servers are named "<zone>-w0", "<zone>-w1" and so on.
Model::SectionDocuments zoneDocuments(const ZoneDocumentOptions& options);

} // namespace WisteriaHill::Tests
