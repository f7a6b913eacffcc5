#include "model/blackboard.h"

namespace WisteriaHill::Model {

namespace {

constexpr std::size_t maximumHistoryEntries = 32;

} // namespace

void JobEntry::addToHistory(SteadyTime at, std::string text)
{
    if (!this->history.empty() && this->history.back().text == text)
        return;
    this->history.push_back({ at, std::move(text) });
    if (this->history.size() > maximumHistoryEntries)
        this->history.pop_front();
}

} // namespace WisteriaHill::Model
