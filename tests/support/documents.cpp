#include "support/documents.h"

#include "utils/digest.h"

namespace WisteriaHill::Tests {

using Utils::Json;

Model::SectionDocuments zoneDocuments(const ZoneDocumentOptions& options)
{
    constexpr int firstPort = 20'000;
    Json servers = Json::array();
    for (std::uint32_t index = 0; index < options.servers; ++index) {
        servers.push_back({ { "id", options.zone + "-w" + std::to_string(index) },
            { "rack", options.zone + "-r" + std::to_string(index / options.serversPerRack) },
            { "position", index % options.serversPerRack }, { "address", "127.0.0.1" },
            { "port", firstPort + index } });
    }
    Model::SectionDocuments documents;
    documents["accounts"] = { { "large", { { "credentialSha256", Utils::sha256Hex("large-secret") } } },
        { "small", { { "credentialSha256", Utils::sha256Hex("small-secret") } } } };
    documents["services"]
        = { { "score", { { "timeout", "2s" } } }, { "reprice", { { "idempotent", false }, { "timeout", "2s" } } } };
    documents["inventory"] = { { options.zone,
        { { "entryHosts", options.entryHosts }, { "spareServers", options.spareServers }, { "servers", servers } } } };
    return documents;
}

} // namespace WisteriaHill::Tests
