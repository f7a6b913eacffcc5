/// A fake clock and what is to happen on it.
#pragma once

#include "utils/steadytime.h"

#include <functional>
#include <map>

namespace WisteriaHill::Tests {

using Utils::Duration;
using Utils::SteadyTime;

/// Runs actions in the order of their times, then of their scheduling. Thread safety: none.
class EventQueue {
public:
    SteadyTime now() const { return this->current; }

    void at(SteadyTime time, std::function<void()> action)
    {
        this->actions.emplace(std::max(time, this->current), std::move(action));
    }
    void after(Utils::SteadyTime::duration delay, std::function<void()> action)
    {
        this->at(this->current + delay, std::move(action));
    }

    /// Lets time pass and runs what is due.
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
