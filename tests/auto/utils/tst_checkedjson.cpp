#include "utils/checkedjson.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Utils;

TEST_CASE("every fault of a document is reported with its path")
{
    JsonFaults faults;
    const auto document = parseJsonText(R"({ // a comment
        "port": 70000, "wait": "soon", "inner": {"name": "no spaces"}, "extra": 1 })",
        faults);
    REQUIRE(document);
    JsonObjectReader reader(*document, "", faults);
    reader.integer("port", { 1, 65535 });
    reader.duration("wait", { Duration(0), Duration(1000) });
    reader.object("inner", [](JsonObjectReader& inner) { inner.identifier("name"); });
    reader.text("missing");
    reader.finish();

    CHECK(formatFaults(faults)
        == "/port: must be from 1 to 65535\n"
           "/wait: must be a duration such as \"250ms\", \"2s\" or \"5min\"\n"
           "/inner/name: must be 1 to 128 letters, digits, '.', '_' or '-'\n"
           "/missing: is missing\n"
           "/extra: is unknown\n");
}

TEST_CASE("text that is not JSON is a fault, not a crash")
{
    for (const char* text : { "", "{", "[1,", "\xff\xfe", "{\"a\":1}x" }) {
        JsonFaults faults;
        CHECK_FALSE(parseJsonText(text, faults));
        CHECK(faults.size() == 1);
    }
}

TEST_CASE("a document with bytes that are not UTF-8 is formatted without an exception")
{
    CHECK_FALSE(toText(Json { { "text", "a\xff" } }).empty());
}
