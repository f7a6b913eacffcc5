/// Evacuates availability zones at the operator's request: nothing more starts there until the zone is taken back.
#pragma once

#include "scheduling/evacuation/serverevacuation.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::Evacuation {

struct ZoneEvacuationOptions {
    /// See EvacuatedZones. Zero on a platform without evacuations.
    Duration bound { 0 };
    /// The zone that a row requests to evacuate; unset for a row that is no such request.
    std::function<std::optional<std::string>(const Row&)> decode {};
};

/// Keeps the blackboard's evacuated zones, and moves runs out of them where that serves the runs' clients: tasks that
/// last, as far as their step may miss them, and long runs that save their progress. Both only when other zones have
/// room that no other work waits for. All other runs go on to their end, which empties the zone without losing work.
/// Runs in the leader only. Thread safety: none.
class ZoneEvacuation {
public:
    using Usable = std::function<bool(const BackendServer&)>;

    ZoneEvacuation(Board& board, Effects& effects, JobTracker& tracker, const ServerEvacuation& servers,
        ZoneEvacuationOptions options);

    /// Starts a term: nothing starts until the requests have been read.
    void begin();

    /// Takes note of the requests that stood in the store at a moment after `readAt`.
    void handleRequests(const std::vector<Row>& rows, SteadyTime readAt, SteadyTime now);

    /// Moves runs. `usable` is true for servers that get new runs.
    void tick(const Usable& usable, SteadyTime now);

    /// True when zones have changed since the last call, so that there is other room to plan with.
    bool takeChanged() { return std::exchange(this->changed, false); }

private:
    /// Free capacity of one server that a moved task may use.
    struct Room {
        const BackendServer* server = nullptr;
        Resources free;
        std::vector<TaskName> reserved; ///< tasks that are to move there
    };

    bool isEnabled() const { return this->options.bound.count() > 0; }
    void reportAge(SteadyTime now);
    void logChange(Utils::Event event, const std::string& zone, SteadyTime now);
    /// Tasks of evacuated zones that should run elsewhere.
    std::vector<TaskName> candidates(SteadyTime now) const;
    bool shouldMove(const TaskName& name, const Task& task, SteadyTime now) const;
    std::vector<Room> roomElsewhere(const Usable& usable, SteadyTime now) const;
    /// Takes the room for the task. Returns false when there is none.
    bool reserve(std::vector<Room>& room, const TaskName& name) const;
    static bool holdsAnother(const Room& room, const TaskName& name, const StepSpecification& step);
    /// Services in which tasks wait that were not moved.
    std::set<std::string> servicesWithWaitingTasks() const;
    void forgetArrived();

    Board& board;
    Effects& effects;
    JobTracker& tracker;
    const ServerEvacuation& servers;
    ZoneEvacuationOptions options;
    std::map<std::string, SteadyTime> begunAt; ///< by evacuated zone, when this leader learned of it
    std::set<TaskName> moving; ///< stopped to be moved, and not running elsewhere yet
    bool changed = false;
    bool outdated = false;
};

} // namespace WisteriaHill::Scheduling::Evacuation
