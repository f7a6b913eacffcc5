#include "keptcases.h"

#include "emulator/emulator.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace WisteriaHill::Emulator;

void playHistory(const std::string& name)
{
    const std::string file = std::string(HISTORY_FOLDER) + "/" + name + ".history";
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const std::vector<std::string> none;
    CHECK(Emulator(parseHistory(text.str(), file)).play().violations == none);
}
