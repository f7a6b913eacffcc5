/// A fake clock with a queue of scheduled actions.
#pragma once

#include "utils/steadytime.h"

#include <functional>
#include <map>

namespace WisteriaHill::Tests {

using Utils::Duration;
using Utils::SteadyTime;

/// Runs actions in order of time; actions of the same time run in the order in which they were scheduled. Thread
/// safety: none.
class EventQueue {
public:
    SteadyTime now() const { return this->current; }

    /// Schedules an action; a time in the past counts as now().
    void at(SteadyTime time, std::function<void()> action)
    {
        this->actions.emplace(std::max(time, this->current), std::move(action));
    }
    void after(Utils::SteadyTime::duration delay, std::function<void()> action)
    {
        this->at(this->current + delay, std::move(action));
    }

    /// Advances the clock by `duration` and runs the actions that fall due meanwhile.
    void advance(Duration duration)
    {
        const SteadyTime end = this->current + duration;
        while (!this->actions.empty() && this->actions.begin()->first <= end) {
            auto node = this->actions.extract(this->actions.begin());
            this->current = node.key();
            node.mapped()();
        }
        this->current = end;
    }

private:
    SteadyTime current { std::chrono::hours(1) };
    std::multimap<SteadyTime, std::function<void()>> actions;
};

} // namespace WisteriaHill::Tests
