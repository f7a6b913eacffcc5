#include "scheduling/pacecontroller.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// Latencies are means over half a second, so they show the effect of a pace only after that time.
constexpr Duration effectTime { 700 };
constexpr double slowDownAbove = 0.85; ///< share of the target latency
constexpr double speedUpBelow = 0.6; ///< share of the target latency
constexpr int speedUpStep = 15; ///< percent; slowing down halves the pace, so that a disturbance ends in a few changes
constexpr int fullPace = 100; ///< percent
constexpr int slowestPace = 5; ///< percent; instead of a lower pace the task is paused with pace 0
constexpr Duration orderTimeout { 500 };

} // namespace

bool PaceController::isMixed(const BackendServer& server) const
{
    if (!this->board.hasLatencyTargets)
        return false;
    bool serves = false;
    bool fills = false;
    for (const auto& [name, need] : server.occupants) {
        if (!this->board.jobs.contains(name.jobId))
            continue;
        const StepSpecification& step = this->board.stepOf(name);
        serves = serves || step.latencyTarget.count() > 0;
        fills = fills || step.fillsIdleCapacity;
    }
    return serves && fills;
}

int PaceController::wantedPercent(const BackendServer& server, int current) const
{
    double worst = 0;
    for (const auto& [name, need] : server.occupants) {
        const Task* task = this->board.findTask(name);
        if (!task || !task->run)
            continue;
        const StepSpecification& step = this->board.stepOf(name);
        if (step.latencyTarget.count() > 0)
            worst = std::max(
                worst, static_cast<double>(task->run->load) / static_cast<double>(step.latencyTarget.count()));
    }
    if (worst > slowDownAbove)
        return current / 2 < slowestPace ? 0 : current / 2;
    if (worst < speedUpBelow)
        return std::min(fullPace, current + speedUpStep);
    return current;
}

void PaceController::tick(FencingToken token, SteadyTime now)
{
    for (const auto& [id, server] : this->board.servers) {
        if (server.unansweredPolls == 0 && now - this->changedAt[id] >= effectTime && this->isMixed(server))
            this->paceServer(server, token, now);
    }
}

void PaceController::paceServer(const BackendServer& server, FencingToken token, SteadyTime now)
{
    for (const auto& [name, need] : server.occupants) {
        Task* task = this->board.findTask(name);
        if (!task || !task->run || task->run->phase != RunPhase::Active || !this->board.stepOf(name).fillsIdleCapacity)
            continue;
        const int wanted = this->wantedPercent(server, task->run->pace);
        if (wanted == task->run->pace)
            continue;
        this->effects.log(Event::RunPaced,
            { { "task", formatTaskName(name) }, { "server", server.address.id }, { "percent", wanted },
                { "previous", task->run->pace } });
        task->run->pace = wanted;
        this->changedAt[server.address.id] = now;
        this->effects.push(ServerCall { .server = server.address,
            .order = PaceOrder { .task = name, .attempt = task->run->attempt, .percent = wanted, .token = token },
            .timeout = orderTimeout,
            .done = [](const OrderResult&) {} }); // the next listed latencies show whether the order took effect
    }
}

} // namespace WisteriaHill::Scheduling
