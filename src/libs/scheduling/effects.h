/// What the controllers ask the process to do. Controllers do no input or output themselves.
#pragma once

#include "scheduling/serverorders.h"
#include "scheduling/statestore.h"
#include "utils/checkedjson.h"
#include "utils/eventcatalogue.h"

#include <deque>
#include <variant>

namespace WisteriaHill::Scheduling {

/// One structured log line.
struct LogLine {
    Utils::Event event;
    Utils::Json fields;
};

using Effect = std::variant<CommitCall, ReadCall, WatchCall, ServerCall, LogLine>;

/// Collects effects in order. Thread safety: none.
class Effects {
public:
    void push(Effect effect) { this->queue.push_back(std::move(effect)); }

    void log(Utils::Event event, Utils::Json fields) { this->push(LogLine { event, std::move(fields) }); }

    bool empty() const { return this->queue.empty(); }

    /// Removes and returns the oldest. Precondition: not empty.
    Effect pop()
    {
        Effect effect = std::move(this->queue.front());
        this->queue.pop_front();
        return effect;
    }

private:
    std::deque<Effect> queue;
};

} // namespace WisteriaHill::Scheduling
