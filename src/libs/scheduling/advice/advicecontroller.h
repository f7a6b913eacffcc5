/// Requests placement tickets from the placement advice: permissions to run a step on certain backend servers.
#pragma once

#include "scheduling/advice/callselection.h"
#include "scheduling/advice/servicetiming.h"
#include "scheduling/advice/validityevidence.h"
#include "scheduling/effects.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace WisteriaHill::Scheduling::Advice {

/// Stores the tickets in the blackboard's steps. Only one call is outstanding at a time, as the service handles a
/// machine's calls one after the other. Thread safety: none.
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
    void begin();

    /// Requests tickets for the step whose turn it is, if one needs some.
    void tick(const Usable& usable, SteadyTime now);

    /// Returns true once after new tickets were stored.
    bool takeChanged() { return std::exchange(this->changed, false); }

    /// Learns from a start that its server has accepted, or rejected for its ticket.
    void ticketUsed(const UsedTicket& used, SteadyTime now);

    /// Why the queue's steps cannot use tickets for so many servers at the same time, as a text for operators; empty
    /// when they can. Precondition: the queue needs placement advice.
    std::string obstacleFor(const Queue& queue, std::size_t servers, SteadyTime now) const;

private:
    struct Request {
        TaskName step; ///< the step's task with index 0
        std::string queue;
        std::string account;
        PlacementAdvice figures;
        CallSelection selection;
        SteadyTime sentAt {};
        Duration timeout { 0 };
    };

    std::optional<Request> nextRequest(const Usable& usable, SteadyTime now);
    std::vector<AdvisedStep> waitingSteps(SteadyTime now) const;
    std::optional<AdvisedStep> continuedStep() const;
    std::optional<Request> requestFor(const AdvisedStep& step, const Usable& usable, SteadyTime now);
    PlacementAdvice figuresOf(const Queue& queue, SteadyTime now);
    void handleAnswer(const Request& request, const AdviceResult& result);
    void handleFailure(const Request& request, AdviceError error, SteadyTime now);
    /// Applies what was learned of the moment from which tickets count to those that are kept.
    void recountTickets(SteadyTime now);
    void storeTickets(const Request& request, const AdviceAnswer& answer, Step& step, SteadyTime now);

    Board& board;
    Effects& effects;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0;
    bool callOpen = false;
    bool changed = false;
    SteadyTime nextCall {};
    int failedCalls = 0; ///< in a row
    std::map<std::string, ServiceTiming> timings; ///< by queue
    std::map<std::string, SteadyTime> accountTurns; ///< when a call was last made for the account
    ValidityEvidence evidence;
    bool firstCallsFirst = false; ///< the last call was for a step that had asked before without a start
    std::optional<TaskName> continued; ///< a gang whose tickets take further calls
};

/// True when the step's queue needs no placement advice, or the step has a ticket for this life of the server that
/// stays valid until a start order would arrive.
bool hasTicket(const Queue& queue, const Step& step, const BackendServer& server, SteadyTime now);

} // namespace WisteriaHill::Scheduling::Advice
