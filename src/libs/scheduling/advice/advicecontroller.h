/// Requests placement tickets from the placement advice: permissions to run a step on certain backend servers.
#pragma once

#include "scheduling/board.h"
#include "scheduling/effects.h"

#include <functional>

namespace WisteriaHill::Scheduling::Advice {

using Usable = std::function<bool(const BackendServer&)>;

/// A server that a call names, in the life for which its ticket will hold.
struct NamedServer {
    std::string id;
    std::int64_t life = 0;
};

/// Stores the tickets in the blackboard's steps. Thread safety: none.
class AdviceController {
public:
    AdviceController(Board& board, Effects& effects)
        : board(board)
        , effects(effects)
    {
    }

    /// Sets the source of the current time. To be called before the first tick().
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Begins a term: the answer to an outstanding call is ignored.
    void begin()
    {
        ++this->generation;
        this->callOpen = false;
    }

    /// Requests tickets for the most urgent step that needs some. Only one call is outstanding at a time, as the
    /// service handles calls one after the other.
    void tick(const Usable& usable, SteadyTime now);

    /// Returns true once after new tickets were stored.
    bool takeChanged() { return std::exchange(this->changed, false); }

    /// Learns from a start that its server has accepted, or rejected for its ticket.
    void ticketUsed(const UsedTicket& used, SteadyTime now);

private:
    struct Request {
        TaskName step; ///< the step's task with index 0
        std::vector<NamedServer> servers;
        const Queue* queue = nullptr;
    };

    std::optional<Request> nextRequest(const Usable& usable, SteadyTime now) const;
    std::vector<NamedServer> serversToQuery(const Step& step, const StepSpecification& wanted, const Queue& queue,
        const Usable& usable, SteadyTime now) const;
    void handleAnswer(const Request& request, Duration validity, SteadyTime sentAt, const AdviceResult& result);

    Board& board;
    Effects& effects;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0;
    bool callOpen = false;
    bool changed = false;
    SteadyTime nextCall {};
};

/// True when the step's queue needs no placement advice, or the step has a ticket for this life of the server that
/// stays valid until a start order would arrive.
bool hasTicket(const Queue& queue, const Step& step, const BackendServer& server, SteadyTime now);

} // namespace WisteriaHill::Scheduling::Advice
