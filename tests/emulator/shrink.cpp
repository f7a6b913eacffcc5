#include "emulator/shrink.h"

#include "emulator/emulator.h"

#include <algorithm>

namespace WisteriaHill::Emulator {

std::vector<std::string> brokenRules(const History& history)
{
    std::vector<std::string> rules;
    for (const std::string& violation : Emulator(history).play().violations) {
        const std::string rule = violation.substr(0, violation.find(' '));
        if (std::ranges::find(rules, rule) == rules.end())
            rules.push_back(rule);
    }
    return rules;
}

namespace {

bool isBroken(const History& history, const std::string& rule)
{
    const std::vector<std::string> rules = brokenRules(history);
    return std::ranges::find(rules, rule) != rules.end();
}

} // namespace

History shrinkHistory(const History& history, const std::string& rule, const std::function<void(std::size_t)>& progress)
{
    History best = history;
    for (std::size_t chunk = std::max<std::size_t>(best.steps.size() / 2, 1);;
         chunk = std::max<std::size_t>(chunk / 2, 1)) {
        bool dropped = false;
        for (std::size_t first = 0; first < best.steps.size();) {
            History shorter = best;
            const std::size_t last = std::min(first + chunk, best.steps.size());
            shorter.steps.erase(shorter.steps.begin() + static_cast<std::ptrdiff_t>(first),
                shorter.steps.begin() + static_cast<std::ptrdiff_t>(last));
            if (isBroken(shorter, rule)) {
                best = shorter;
                dropped = true;
                progress(best.steps.size());
            } else {
                first += chunk;
            }
        }
        if (chunk == 1 && !dropped)
            return best;
    }
}

} // namespace WisteriaHill::Emulator
