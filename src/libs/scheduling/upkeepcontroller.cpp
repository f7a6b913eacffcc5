#include "scheduling/upkeepcontroller.h"

#include "utils/checkedjson.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration storeTimeout { 800 };
constexpr Duration callTimeout { 1500 };
constexpr Duration callRetryPause { 200 };
/// Runs without saved progress are stopped after this share of the time that the wave has for a machine.
constexpr double forceAfterShare = 0.6;
constexpr const char* progressTable = "upkeep";

RowKey progressRow(std::int64_t wave)
{
    return { progressTable, StoreTable::schedulerPartition, std::to_string(wave) };
}

} // namespace

void UpkeepController::begin(const std::string& newHolder, FencingToken newToken)
{
    ++this->generation;
    this->holder = newHolder;
    this->token = newToken;
    this->waves.clear();
}

std::vector<BackendServer*> UpkeepController::serversOn(const std::string& machine)
{
    std::vector<BackendServer*> servers;
    for (auto& [id, server] : this->board.servers) {
        if (server.machine == machine && (server.present || !server.occupants.empty()))
            servers.push_back(&server);
    }
    return servers;
}

void UpkeepController::handleRequests(const std::vector<Row>& rows, SteadyTime now)
{
    for (const Row& row : rows) {
        if (row.key.key.starts_with(this->options.wavePrefix))
            this->addWave(row, now);
    }
}

void UpkeepController::addWave(const Row& row, SteadyTime now)
{
    const std::optional<UpkeepWave> wave = this->options.decodeWave(row);
    if (!wave || this->waves.contains(wave->number))
        return;
    Wave& added = this->waves[wave->number];
    added.wave = *wave;
    for (const std::string& machine : wave->machines)
        added.machines[machine] = { .since = now };
    this->effects.log(Event::WaveBegun,
        { { "wave", wave->number }, { "machines", wave->machines.size() }, { "maximumDown", wave->maximumDown },
            { "durationMs", wave->duration.count() } });
}

void UpkeepController::readProgress(Wave& wave)
{
    if (wave.progressCallOpen)
        return;
    wave.progressCallOpen = true;
    this->effects.push(ReadCall { .range = singleRow(progressRow(wave.wave.number)),
        .timeout = storeTimeout,
        .done = [this, number = wave.wave.number, callGeneration = this->generation](const ReadResult& result) {
            if (callGeneration != this->generation)
                return;
            Wave& read = this->waves.at(number);
            read.progressCallOpen = false;
            const auto* page = std::get_if<RowPage>(&result);
            if (!page)
                return;
            read.progressRead = true;
            const auto orderedMachines
                = page->rows.empty() ? Utils::Json() : Utils::Json::parse(page->rows.front().value, nullptr, false);
            for (auto& [id, machine] : read.machines) {
                if (orderedMachines.is_array()
                    && std::ranges::find(orderedMachines, Utils::Json(id)) != orderedMachines.end()) {
                    machine.stage = Stage::Down;
                    machine.since = this->clock();
                }
            }
        } });
}

void UpkeepController::tick(SteadyTime now)
{
    for (auto& [number, wave] : this->waves) {
        if (!wave.progressRead)
            this->readProgress(wave);
        else
            this->advance(wave, now);
    }
}

void UpkeepController::advance(Wave& wave, SteadyTime now)
{
    int inUpkeep = 0;
    bool allOrdered = true;
    for (auto& [id, machine] : wave.machines) {
        if (machine.stage != Stage::Waiting)
            this->advanceMachine(wave, id, machine, now);
        inUpkeep += machine.stage == Stage::Evacuating || mayBeDown(machine) ? 1 : 0;
        allOrdered = allOrdered && (machine.stage == Stage::Down || machine.stage == Stage::Completed);
    }
    for (auto& [id, machine] : wave.machines) {
        if (machine.stage != Stage::Waiting || inUpkeep >= wave.wave.maximumDown)
            continue;
        machine.stage = Stage::Evacuating;
        machine.since = now;
        ++inUpkeep;
        for (BackendServer* server : this->serversOn(id))
            server->evacuating = true;
    }
    if (allOrdered && !wave.progressDirty && !wave.progressCallOpen && !wave.completed) {
        wave.completed = true;
        wave.statusStored = false;
        this->effects.log(Event::WaveCompleted, { { "wave", wave.wave.number } });
    }
    if (wave.progressDirty && !wave.progressCallOpen)
        this->storeProgress(wave);
    if (!wave.statusStored && !wave.statusCallOpen)
        this->storeStatus(wave);
}

void UpkeepController::advanceMachine(Wave& wave, const std::string& id, Machine& machine, SteadyTime now)
{
    const std::vector<BackendServer*> servers = this->serversOn(id);
    if (machine.stage == Stage::Evacuating) {
        const auto rounds
            = static_cast<std::int64_t>((wave.machines.size() + static_cast<std::size_t>(wave.wave.maximumDown) - 1)
                / static_cast<std::size_t>(std::max(wave.wave.maximumDown, 1)));
        const Duration share = wave.wave.duration / std::max<std::int64_t>(rounds, 1);
        const bool force = now - machine.since > std::chrono::duration_cast<Duration>(share * forceAfterShare);
        for (BackendServer* server : servers) {
            server->evacuating = true;
            this->evacuation.evacuate(*server, force, now);
        }
        if (std::ranges::all_of(servers, [](const BackendServer* server) { return server->occupants.empty(); }))
            machine.stage = Stage::Ordering;
    }
    if (machine.stage == Stage::Ordering && !machine.callOpen && now >= machine.nextCall && this->mayOrder(now))
        this->sendOrder(wave, id, machine);
    if (machine.stage == Stage::Down) {
        const bool returned = std::ranges::any_of(servers, [&](const BackendServer* server) {
            return server->incarnation != 0 && !machine.incarnations.contains(server->incarnation);
        });
        if (now - machine.since > this->options.upkeepTime && (returned || now - machine.since > lateExecutionTime)) {
            machine.stage = Stage::Completed;
            for (auto& [serverId, server] : this->board.servers)
                server.evacuating = server.evacuating && server.machine != id;
        }
    }
}

void UpkeepController::sendOrder(Wave& wave, const std::string& id, Machine& machine)
{
    for (const BackendServer* server : this->serversOn(id))
        machine.incarnations.insert(server->incarnation);
    machine.callOpen = true;
    this->effects.push(UpkeepCall { .machine = id,
        .wave = wave.wave.number,
        .holder = this->holder,
        .token = this->token,
        .timeout = callTimeout,
        .mayBeSent =
            [this, callGeneration = this->generation]() {
                return callGeneration == this->generation && this->mayOrder(this->clock());
            },
        .done =
            [this, number = wave.wave.number, id, callGeneration = this->generation](UpkeepResult result) {
                if (callGeneration == this->generation)
                    this->handleOrderResult(number, id, result);
            } });
}

void UpkeepController::handleOrderResult(std::int64_t number, const std::string& id, UpkeepResult result)
{
    const SteadyTime now = this->clock();
    Wave& wave = this->waves.at(number);
    Machine& machine = wave.machines.at(id);
    machine.callOpen = false;
    machine.nextCall = now + callRetryPause;
    this->effects.log(Event::UpkeepOrdered,
        { { "wave", number }, { "machine", id }, { "result", upkeepResultName(result) }, { "token", this->token } });
    if (result != UpkeepResult::Done && result != UpkeepResult::NoSuchMachine && result != UpkeepResult::OtherWave)
        return;
    machine.stage = Stage::Down;
    machine.since = now;
    wave.progressDirty = true;
}

void UpkeepController::storeProgress(Wave& wave)
{
    Utils::Json orderedMachines = Utils::Json::array();
    for (const auto& [id, machine] : wave.machines) {
        if (machine.stage == Stage::Down || machine.stage == Stage::Completed)
            orderedMachines.push_back(id);
    }
    wave.progressCallOpen = true;
    wave.progressDirty = false;
    this->effects.push(
        CommitCall { .transaction = { .writes = { { progressRow(wave.wave.number), orderedMachines.dump() } } },
            .timeout = storeTimeout,
            .done = [this, number = wave.wave.number, callGeneration = this->generation](const CommitResult& result) {
                if (callGeneration != this->generation)
                    return;
                Wave& stored = this->waves.at(number);
                stored.progressCallOpen = false;
                stored.progressDirty = stored.progressDirty || !std::holds_alternative<Committed>(result);
            } });
}

void UpkeepController::storeStatus(Wave& wave)
{
    wave.statusCallOpen = true;
    const RowKey key { this->options.statusTable, "", this->options.wavePrefix + std::to_string(wave.wave.number) };
    this->effects.push(
        CommitCall { .transaction = { .writes = { { key, this->options.encodeStatus(wave.completed) } } },
            .timeout = storeTimeout,
            .done = [this, number = wave.wave.number, completed = wave.completed, callGeneration = this->generation](
                        const CommitResult& result) {
                if (callGeneration != this->generation)
                    return;
                Wave& stored = this->waves.at(number);
                stored.statusCallOpen = false;
                stored.statusStored = std::holds_alternative<Committed>(result) && stored.completed == completed;
            } });
}

} // namespace WisteriaHill::Scheduling
