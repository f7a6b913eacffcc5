#include "utils/eventcatalogue.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace WisteriaHill::Utils;

TEST_CASE("event numbers are unique and ascending")
{
    int last = 0;
    for (const EventDescription& line : eventCatalogue()) {
        CHECK(static_cast<int>(line.event) > last);
        last = static_cast<int>(line.event);
        CHECK_FALSE(line.meaning.empty());
        CHECK_FALSE(line.action.empty());
    }
}

TEST_CASE("docs/EVENTS.md contains the event catalogue of the code")
{
    std::ifstream file(std::string(WISTERIAHILL_DOCS) + "/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(text.str().find(eventCatalogueMarkdown()) != std::string::npos);
}
