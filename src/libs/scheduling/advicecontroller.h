/// Asks the placement advice which backend servers may run a step, and keeps the tickets.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

#include <functional>

namespace WisteriaHill::Scheduling {

/// Reads and writes the tickets on the blackboard's steps. Thread safety: none.
class AdviceController {
public:
    AdviceController(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Forgets an open call, when a term begins.
    void begin()
    {
        ++this->generation;
        this->callOpen = false;
    }

    /// Asks for the most urgent step that waits for tickets; one call at a time, as the service handles them in turn.
    void tick(const std::function<bool(const BackendServer&)>& usable, SteadyTime now);

    /// True when tickets came since the last call.
    bool takeChanged() { return std::exchange(this->changed, false); }

private:
    struct Request {
        TaskName step; ///< index 0
        std::vector<std::string> servers;
        const Queue* queue = nullptr;
    };

    std::optional<Request> nextRequest(const std::function<bool(const BackendServer&)>& usable, SteadyTime now) const;
    std::vector<std::string> serversToQuery(const Step& step, const StepSpecification& wanted, const Queue& queue,
        const std::function<bool(const BackendServer&)>& usable, SteadyTime now) const;
    void handleAnswer(const Request& request, Duration validity, SteadyTime sentAt, const AdviceResult& result);

    Board& board;
    Effects& effects;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0;
    bool callOpen = false;
    bool changed = false;
    SteadyTime nextCall {};
};

/// True when the step needs no ticket on the server or has one that is valid for a while.
bool hasTicket(const Queue& queue, const Step& step, const std::string& server, SteadyTime now);

} // namespace WisteriaHill::Scheduling
