#include "scheduling/configurationrelay.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Scheduling;
using namespace std::chrono_literals;

namespace {

const RowKey document { "op", "", "config" };

Row documentRow(const std::string& value, RowVersion version)
{
    return { .key = document, .value = value, .version = version };
}

} // namespace

TEST_CASE("a relayed read of the configuration is answered from memory, other reads are not")
{
    ConfigurationRelay relay(document);
    CHECK_FALSE(relay.read(singleRow(document)));
    CHECK_FALSE(relay.watches("op"));
    relay.setRow(documentRow("new", 8));
    const std::optional<RowPage> page = relay.read(singleRow(document));
    REQUIRE(page);
    CHECK(page->version == 8);
    REQUIRE(page->rows.size() == 1);
    CHECK(page->rows.front().value == "new");
    CHECK_FALSE(relay.read({ .table = "op" }));
    CHECK_FALSE(relay.read(singleRow({ "op", "", "wave/1" })));
    CHECK_FALSE(relay.read(singleRow({ "jobs", "", "config" })));
    CHECK(relay.watches("op"));
    CHECK_FALSE(relay.watches("servers"));
}

TEST_CASE("a relayed watch of the configuration is answered once, with a newer version or when its time is over")
{
    ConfigurationRelay relay(document);
    const SteadyTime now { 1000s };
    relay.setRow(documentRow("old", 8));
    std::vector<RowPage> pages;
    const auto collect = [&](const RowPage& page) { pages.push_back(page); };
    relay.watch(7, now + 1s, collect);
    REQUIRE(pages.size() == 1);
    CHECK(pages.back().rows.front().value == "old");
    relay.watch(8, now + 1s, collect);
    relay.watch(20, now + 1s, collect);
    relay.tick(now + 500ms);
    CHECK(pages.size() == 1);
    relay.setRow(documentRow("new", 12));
    REQUIRE(pages.size() == 2);
    CHECK(pages.back().rows.front().value == "new");
    CHECK(pages.back().version == 12);
    relay.tick(now + 1s);
    REQUIRE(pages.size() == 3);
    CHECK(pages.back().rows.empty());
    CHECK(pages.back().version == 20);
    relay.tick(now + 2s);
    CHECK(pages.size() == 3);
}
