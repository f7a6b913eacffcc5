// Histories as text.

#include "emulator/history.h"
#include "emulator/historygenerator.h"

#include <catch2/catch.hpp>

using namespace WisteriaHill::Emulator;

namespace {

const std::string fleet = "fleet daemons=3 zones=3 servers=6 lease=6000 length=60000\n";

std::string errorOf(const std::string& text)
{
    try {
        parseHistory(text, "a.history");
    } catch (const HistoryError& error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("a history that is written and read again is the same")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const std::string text = formatHistory(drawHistory(seed));
        CHECK(formatHistory(parseHistory(text, "a.history")) == text);
    }
}

TEST_CASE("an error in a history names the file and the line")
{
    CHECK(errorOf(fleet + "# a comment\n\n5 explode\n") == "a.history:4: unknown step \"explode\"");
    CHECK(errorOf("5 store-forget\n") == "a.history:1: the first line must begin with \"fleet\", not \"5\"");
    CHECK(errorOf("") == "a.history:0: there is no line that begins with \"fleet\"");
    CHECK(errorOf("fleet daemons=3 zones=4 servers=6 lease=1 length=1\n")
        == "a.history:1: the servers cannot be distributed evenly over the zones");
    CHECK(errorOf("fleet daemons=x\n") == "a.history:1: bad value \"x\" of daemons");
    CHECK(errorOf("fleet daemons=0\n") == "a.history:1: bad value \"0\" of daemons");
    CHECK(errorOf("fleet daemons=3\n") == "a.history:1: zones is missing");
    CHECK(errorOf(fleet + "60001 store-forget\n") == "a.history:2: bad time \"60001\"");
    CHECK(errorOf(fleet + "5s store-forget\n") == "a.history:2: bad time \"5s\"");
    CHECK(errorOf(fleet + "5\n") == "a.history:2: unknown step \"\"");
    CHECK(errorOf(fleet + "9 store-forget\n5 store-forget\n")
        == "a.history:3: the step is earlier than the one before it");
    CHECK(errorOf(fleet + "5 kill daemon=3 for=1\n") == "a.history:2: bad value \"3\" of daemon");
    CHECK(errorOf(fleet + "5 kill daemon=1\n") == "a.history:2: for is missing");
    CHECK(errorOf(fleet + "5 kill daemon=1 for=-1\n") == "a.history:2: bad value \"-1\" of for");
    CHECK(errorOf(fleet + "5 kill daemon=1 for=99999999999999999999\n")
        == "a.history:2: bad value \"99999999999999999999\" of for");
    CHECK(errorOf(fleet + "5 kill daemon=1 for=1 why=2\n") == "a.history:2: unknown argument \"why\" of kill");
    CHECK(errorOf(fleet + "5 kill daemon\n") == "a.history:2: \"daemon\" is not of the form name=value");
    CHECK(
        errorOf(fleet + "5 isolate daemon=leader servers=0+6 for=1\n") == "a.history:2: bad value \"0+6\" of servers");
    CHECK(errorOf(fleet + "5 cut-link from=store to=server-6 for=1\n") == "a.history:2: bad value \"server-6\" of to");
    CHECK(errorOf(fleet + "5 submit id=a queue=slow steps=1x1:9\n") == "a.history:2: bad value \"slow\" of queue");
    CHECK(errorOf(fleet + "5 submit id=a queue=urgent steps=1x9:9\n") == "a.history:2: bad value \"1x9:9\" of steps");
    CHECK(errorOf(fleet + "5 submit id=a queue=urgent steps=1x1:9:after\n")
        == "a.history:2: bad value \"1x1:9:after\" of steps");
    CHECK(errorOf(fleet + "5 submit id=a queue=urgent steps=1x1:9\n6 submit id=a queue=urgent steps=1x1:9\n")
        == "a.history:3: job a was submitted before");
}
