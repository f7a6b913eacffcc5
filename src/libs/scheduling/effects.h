/// Effects that the controllers request from the process. Controllers do no input or output themselves.
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

struct AdviceAnswer {
    std::vector<std::pair<std::string, std::string>> allowed; ///< pairs of server id and ticket
    Duration validity { 0 }; ///< zero when the answer does not state it
};

enum class AdviceError { Busy, NoAnswer };

using AdviceResult = std::variant<AdviceAnswer, AdviceError>;

/// Requests permission from the placement advice service to run the tasks of a step on some of `servers`.
struct AdviceCall {
    TaskName step; ///< the step's task with index 0
    std::vector<std::string> servers;
    Duration timeout { 0 };
    std::function<void(AdviceResult)> done;
};

enum class UpkeepResult { Done, Fenced, Busy, OtherWave, NoSuchMachine, Unavailable, NoAnswer };

/// The name of a result, for logs.
std::string upkeepResultName(UpkeepResult result);

/// Takes a machine down for its upkeep, which ends all runs on it. A repeated call is also answered as done.
struct UpkeepCall {
    std::string machine;
    std::int64_t wave = 0;
    std::string holder; ///< node of the leader
    FencingToken token = 0;
    Duration timeout { 0 };
    std::function<bool()> mayBeSent {}; ///< called right before the order leaves; when false, it is not sent
    std::function<void(UpkeepResult)> done;
};

/// Duration of a run that ended as done, for the metrics.
struct RunMeasurement {
    std::string queue;
    Duration ran { 0 };
    Duration declared { 0 };
};

/// A job that has ended, for the metrics.
struct JobMeasurement {
    std::string queue;
    std::string state;
    std::string outlook; ///< whether it ended within its objective
    Duration age { 0 };
};

using Effect = std::variant<CommitCall, ReadCall, WatchCall, ServerCall, AdviceCall, UpkeepCall, LogLine,
    RunMeasurement, JobMeasurement>;

/// Collects effects in order. Thread safety: none.
class Effects {
public:
    void push(Effect effect) { this->queue.push_back(std::move(effect)); }

    void log(Utils::Event event, Utils::Json fields) { this->push(LogLine { event, std::move(fields) }); }

    bool empty() const { return this->queue.empty(); }

    /// Removes and returns the oldest effect. Precondition: not empty.
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
