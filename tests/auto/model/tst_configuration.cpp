#include "model/configuration.h"
#include "model/guaranteelayout.h"
#include "support/documents.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace WisteriaHill;
using namespace WisteriaHill::Model;
using Utils::Json;

namespace {

std::string faultsOf(const SectionDocuments& documents)
{
    const auto result = parseConfiguration(documents);
    const auto* faults = std::get_if<Utils::JsonFaults>(&result);
    return faults ? Utils::formatFaults(*faults) : "";
}

SectionDocuments withGuarantee(std::uint32_t servers, std::uint32_t perServer, std::uint32_t spare)
{
    SectionDocuments documents = Tests::zoneDocuments({ .servers = 8, .serversPerRack = 4, .spareServers = spare });
    documents["guarantees"] = Json::parse(R"({"render": {"account": "large", "zone": "akl",
        "shape": {"servers": )"
        + std::to_string(servers) + R"(, "acceleratorsPerServer": )" + std::to_string(perServer) + "}}}");
    return documents;
}

} // namespace

TEST_CASE("a valid configuration document is accepted")
{
    const auto result = parseConfiguration(withGuarantee(2, 8, 1));
    REQUIRE(std::holds_alternative<Configuration>(result));
    const auto& configuration = std::get<Configuration>(result);
    CHECK(configuration.zone(AvailabilityZoneId("akl"))->servers.size() == 8);
    CHECK(configuration.server(BackendServerId("akl-w3")) != nullptr);
    const GuaranteeLayout layout = layoutGuarantees(configuration, AvailabilityZoneId("akl"), {});
    CHECK(layout.homes.at(GuaranteeId("render")).size() == 2);
}

TEST_CASE("references to missing accounts and sections are reported with their path")
{
    SectionDocuments documents = withGuarantee(2, 8, 0);
    documents["guarantees"]["render"]["account"] = "nobody";
    CHECK(faultsOf(documents) == "/guarantees/render/account: names no client account\n");
    documents = withGuarantee(2, 8, 0);
    documents["teams"] = Json::parse(R"({"a": {"credentialSha256": "x", "sections": ["accounts", "nothing"]}})");
    CHECK(faultsOf(documents).find("/teams/a/credentialSha256") != std::string::npos);
    CHECK(faultsOf(documents).find("names no section: nothing") != std::string::npos);
}

TEST_CASE("guarantees that do not fit at once are rejected with the reason")
{
    CHECK(faultsOf(withGuarantee(4, 8, 0)).empty());
    CHECK(faultsOf(withGuarantee(4, 8, 1)).empty());
    CHECK(faultsOf(withGuarantee(5, 8, 0)).empty()); // larger than a rack, so it may cross racks
    CHECK(faultsOf(withGuarantee(4, 8, 2)).find("/guarantees/render: does not fit in zone akl") != std::string::npos);
    CHECK(faultsOf(withGuarantee(9, 8, 0)).find("/guarantees/render: does not fit in zone akl") != std::string::npos);
}

TEST_CASE("a home moves only when one of its servers is unavailable")
{
    SectionDocuments documents = withGuarantee(2, 8, 1);
    documents["guarantees"]["second"] = documents["guarantees"]["render"];
    const auto configuration = std::get<Configuration>(parseConfiguration(documents));
    const AvailabilityZoneId zone("akl");
    const GuaranteeLayout before = layoutGuarantees(configuration, zone, {});
    const BackendServerId lost = before.homes.at(GuaranteeId("render")).front().server;
    const GuaranteeLayout after = layoutGuarantees(configuration, zone, { lost });
    CHECK(after.homes.at(GuaranteeId("second")) == before.homes.at(GuaranteeId("second")));
    CHECK(std::ranges::none_of(
        after.homes.at(GuaranteeId("render")), [&](const PlacementMember& member) { return member.server == lost; }));
}
