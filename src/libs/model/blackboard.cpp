#include "model/blackboard.h"

namespace WisteriaHill::Model {

namespace {

constexpr std::size_t notesKept = 32;

} // namespace

void JobEntry::note(SteadyTime at, std::string text)
{
    if (!this->notes.empty() && this->notes.back().text == text)
        return;
    this->notes.push_back({ at, std::move(text) });
    if (this->notes.size() > notesKept)
        this->notes.pop_front();
}

} // namespace WisteriaHill::Model
