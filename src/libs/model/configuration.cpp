#include "model/configuration.h"

#include "model/configurationsections.h"
#include "model/guaranteelayout.h"

#include <algorithm>

namespace WisteriaHill::Model {

const std::vector<std::string> sectionNames { "accounts", "guarantees", "inventory", "policy", "services", "teams" };

namespace {

const Utils::Json& documentOf(const SectionDocuments& documents, const std::string& name)
{
    static const Utils::Json empty = Utils::Json::object();
    const auto found = documents.find(name);
    return found == documents.end() ? empty : found->second;
}

void checkGuaranteesFit(const Configuration& configuration, Utils::JsonFaults& faults)
{
    for (const auto& [id, zone] : configuration.zones) {
        const std::optional<LayoutFault> fault = checkLayout(configuration, id);
        if (fault)
            faults.push_back({ "/guarantees/" + fault->guarantee.value(), fault->reason });
    }
}

} // namespace

std::uint32_t AvailabilityZone::connectionShare(const BackendServer& server) const
{
    return server.connections / (this->entryHosts + this->entryHostReserve);
}

const AvailabilityZone* Configuration::zone(const AvailabilityZoneId& id) const
{
    const auto found = this->zones.find(id);
    return found == this->zones.end() ? nullptr : &found->second;
}

const BackendServer* Configuration::server(const BackendServerId& id) const
{
    for (const auto& [zoneId, zone] : this->zones) {
        for (const BackendServer& server : zone.servers) {
            if (server.id == id)
                return &server;
        }
    }
    return nullptr;
}

const ClientAccount* Configuration::accountOfCredential(const std::string& credentialSha256) const
{
    for (const auto& [id, account] : this->accounts) {
        if (account.credentialSha256 == credentialSha256)
            return &account;
    }
    return nullptr;
}

const Team* Configuration::teamOfCredential(const std::string& credentialSha256) const
{
    for (const auto& [id, team] : this->teams) {
        if (team.credentialSha256 == credentialSha256)
            return &team;
    }
    return nullptr;
}

Utils::Result<Configuration, Utils::JsonFaults> parseConfiguration(const SectionDocuments& documents)
{
    Configuration configuration;
    Utils::JsonFaults faults;
    for (const auto& [name, document] : documents) {
        if (std::ranges::find(sectionNames, name) == sectionNames.end())
            faults.push_back({ "/" + name, "is not a section of the configuration" });
    }
    Internal::readAccounts(documentOf(documents, "accounts"), configuration, faults);
    Internal::readInventory(documentOf(documents, "inventory"), configuration, faults);
    Internal::readGuarantees(documentOf(documents, "guarantees"), configuration, faults);
    Internal::readPolicy(documentOf(documents, "policy"), configuration, faults);
    Internal::readServices(documentOf(documents, "services"), configuration, faults);
    Internal::readTeams(documentOf(documents, "teams"), configuration, faults);
    if (faults.empty())
        checkGuaranteesFit(configuration, faults);
    if (!faults.empty())
        return faults;
    configuration.documents = documents;
    return configuration;
}

} // namespace WisteriaHill::Model
