/// Carries out upkeep waves: evacuates each machine, orders its upkeep and waits for its new server, with no more
/// machines at once than the wave allows.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/evacuation/serverevacuation.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// An upkeep wave that the operator requested.
struct UpkeepWave {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    Duration duration { 0 }; ///< time for the whole wave
    int maximumDown = 1; ///< machines that may be down at once
};

struct UpkeepOptions {
    std::string wavePrefix; ///< prefix of the waves' keys
    std::string statusTable; ///< table into which the status of each wave is written
    Duration upkeepTime { 2000 }; ///< time from the order until a new server joins
    std::function<std::optional<UpkeepWave>(const Row&)> decodeWave; ///< unset result for a row that is no wave
    std::function<std::string(bool completed)> encodeStatus;
};

/// Runs in the leader only. Thread safety: none.
class UpkeepController {
public:
    UpkeepController(Board& board, Effects& effects, Evacuation::ServerEvacuation& evacuation, UpkeepOptions options)
        : board(board)
        , effects(effects)
        , evacuation(evacuation)
        , options(std::move(options))
    {
    }

    /// Sets the source of the current time. To be called before the first tick().
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// `handler` returns true while no other daemon can have become the leader. Upkeep orders are sent only then,
    /// because the machines' service may not compare tokens.
    void setPermission(std::function<bool(SteadyTime)> handler) { this->mayOrder = std::move(handler); }

    /// Begins a term. The machines whose upkeep was ordered in earlier terms are read from the store.
    void begin(const std::string& holder, FencingToken token);

    /// Takes note of the waves among the operator's requests.
    void handleRequests(const std::vector<Row>& rows, SteadyTime now);

    void tick(SteadyTime now);

private:
    enum class Stage { Waiting, Evacuating, Ordering, Down, Completed };

    struct Machine {
        Stage stage = Stage::Waiting;
        SteadyTime since {};
        std::set<std::int64_t> incarnations; ///< of the machine's servers when the upkeep was ordered
        bool callOpen = false;
        SteadyTime nextCall {};
    };

    struct Wave {
        UpkeepWave wave;
        std::map<std::string, Machine> machines;
        bool statusStored = false; ///< the current status is stored
        bool statusCallOpen = false;
        bool progressRead = false;
        bool progressCallOpen = false;
        bool progressDirty = false;
        bool completed = false;
    };

    void readProgress(Wave& wave);
    void addWave(const Row& row, SteadyTime now);
    void advance(Wave& wave, SteadyTime now);
    void advanceMachine(Wave& wave, const std::string& id, Machine& machine, SteadyTime now);
    void sendOrder(Wave& wave, const std::string& id, Machine& machine);
    void handleOrderResult(std::int64_t number, const std::string& id, UpkeepResult result);
    void storeProgress(Wave& wave);
    void storeStatus(Wave& wave);
    /// The servers that are registered on the machine or may have runs there: more than one while an entry is out of
    /// date or has another writer.
    std::vector<BackendServer*> serversOn(const std::string& machine);
    static bool mayBeDown(const Machine& machine)
    {
        return machine.stage == Stage::Ordering || machine.stage == Stage::Down;
    }

    Board& board;
    Effects& effects;
    Evacuation::ServerEvacuation& evacuation;
    UpkeepOptions options;
    std::function<SteadyTime()> clock;
    std::function<bool(SteadyTime)> mayOrder;
    std::string holder;
    FencingToken token = 0;
    std::uint64_t generation = 0;
    std::map<std::int64_t, Wave> waves;
};

} // namespace WisteriaHill::Scheduling
