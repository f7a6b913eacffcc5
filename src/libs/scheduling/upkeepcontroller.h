/// Brings the machines of an upkeep wave through their upkeep: emptied first, never more at once than allowed.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/evacuation.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace WisteriaHill::Scheduling {

/// A wave that the operator asked for.
struct UpkeepWave {
    std::int64_t number = 0;
    std::vector<std::string> machines;
    Duration duration { 0 }; ///< time for the whole wave
    int maximumDown = 1; ///< machines that may be down at once
};

struct UpkeepOptions {
    std::string waveTable; ///< rows of waves lie here
    std::string wavePrefix; ///< keys of waves begin so
    std::string statusTable;
    Duration upkeepTime { 2000 }; ///< from the order until a new server joins
    std::function<std::optional<UpkeepWave>(const Row&)> decodeWave;
    std::function<std::string(bool completed)> encodeStatus;
};

/// Active in the leader. Thread safety: none.
class UpkeepController {
public:
    UpkeepController(Board& board, Effects& effects, Evacuation& evacuation, UpkeepOptions options)
        : board(board)
        , effects(effects)
        , evacuation(evacuation)
        , options(std::move(options))
    {
    }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Begins a term. Which machines are through is read from the store.
    void begin(const std::string& holder, FencingToken token);

    void tick(SteadyTime now);

private:
    enum class Stage { Waiting, Evacuating, Ordering, Down, Completed };

    struct Machine {
        Stage stage = Stage::Waiting;
        SteadyTime since {};
        std::int64_t incarnation = 0; ///< of its server when the upkeep was ordered
        bool callOpen = false;
        SteadyTime nextCall {};
    };

    struct Wave {
        UpkeepWave wave;
        std::map<std::string, Machine> machines;
        SteadyTime seenAt {};
        bool statusStored = false; ///< the status that holds now
        bool statusCallOpen = false;
        bool progressRead = false;
        bool progressCallOpen = false;
        bool progressDirty = false;
        bool completed = false;
    };

    void readWaves(SteadyTime now);
    void readProgress(Wave& wave);
    void addWave(const Row& row, SteadyTime now);
    void advance(Wave& wave, SteadyTime now);
    void advanceMachine(Wave& wave, const std::string& id, Machine& machine, SteadyTime now);
    void sendOrder(Wave& wave, const std::string& id, Machine& machine);
    void handleOrderResult(std::int64_t number, const std::string& id, UpkeepResult result);
    void storeProgress(Wave& wave);
    void storeStatus(Wave& wave);
    BackendServer* serverOf(const std::string& machine);
    static bool mayBeDown(const Machine& machine)
    {
        return machine.stage == Stage::Ordering || machine.stage == Stage::Down;
    }

    Board& board;
    Effects& effects;
    Evacuation& evacuation;
    UpkeepOptions options;
    std::function<SteadyTime()> clock;
    std::string holder;
    FencingToken token = 0;
    std::uint64_t generation = 0;
    std::map<std::int64_t, Wave> waves;
    bool readCallOpen = false;
    SteadyTime nextRead {};
};

} // namespace WisteriaHill::Scheduling
