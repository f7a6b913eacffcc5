#include "scheduling/advicecontroller.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr std::size_t serversPerRequest = 30; ///< the decision time grows with each server and delays all tickets
constexpr Duration queueingSlack { 800 }; ///< added to the announced decision time for queued calls of other daemons
constexpr Duration retryPause { 150 };
constexpr Duration ticketMargin { 400 }; ///< remaining validity of a usable ticket: the start order has to arrive

} // namespace

bool hasTicket(const Queue& queue, const Step& step, const std::string& server, SteadyTime now)
{
    if (!queue.advice)
        return true;
    const auto found = step.tickets.find(server);
    return found != step.tickets.end() && now + ticketMargin < found->second.validUntil;
}

std::vector<std::string> AdviceController::serversToQuery(const Step& step, const StepSpecification& wanted,
    const Queue& queue, const std::function<bool(const BackendServer&)>& usable, SteadyTime now) const
{
    const Resources need = countedNeed(wanted);
    int covered = 0;
    std::vector<std::pair<std::int64_t, std::string>> candidates;
    for (const auto& [id, server] : this->board.servers) {
        if (server.service != queue.service || !usable(server) || step.deniedServers.contains(id)
            || !hasRequiredLabel(server.labels, wanted))
            continue;
        const Resources free = server.freeCapacity();
        if (!free.holds(need))
            continue;
        if (hasTicket(queue, step, id, now))
            ++covered;
        else
            candidates.emplace_back(free.accelerators, id);
    }
    const int waiting = static_cast<int>(step.tasks.size()) - step.done - step.running;
    if (covered >= waiting)
        return {};
    // One ticket allows several tasks, so servers with more free accelerators come first.
    std::ranges::sort(candidates, std::greater());
    candidates.resize(std::min(candidates.size(), serversPerRequest));
    std::vector<std::string> servers;
    servers.reserve(candidates.size());
    for (const auto& [free, id] : candidates)
        servers.push_back(id);
    return servers;
}

std::optional<AdviceController::Request> AdviceController::nextRequest(
    const std::function<bool(const BackendServer&)>& usable, SteadyTime now) const
{
    std::optional<Request> best;
    SteadyTime bestSince {};
    for (const auto& [id, job] : this->board.jobs) {
        const Queue* queue = job.ended() ? nullptr : job.queue;
        if (!queue || !queue->advice)
            continue;
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                const Step& step = occurrence.steps[number];
                if (!step.ready || step.done + step.running >= static_cast<int>(step.tasks.size()))
                    continue;
                const bool better = !best
                    || std::pair(queue->priority, step.readySince) < std::pair(best->queue->priority, bestSince);
                if (!better)
                    continue;
                std::vector<std::string> servers
                    = this->serversToQuery(step, job.record.specification.steps[number], *queue, usable, now);
                if (servers.empty())
                    continue;
                best = Request { { id, index, static_cast<int>(number), 0 }, std::move(servers), queue };
                bestSince = step.readySince;
            }
        }
    }
    return best;
}

void AdviceController::tick(const std::function<bool(const BackendServer&)>& usable, SteadyTime now)
{
    if (this->callOpen || now < this->nextCall || !this->board.hasAdvisedQueues)
        return;
    std::optional<Request> request = this->nextRequest(usable, now);
    if (!request)
        return;
    const PlacementAdvice& advice = *request->queue->advice;
    this->callOpen = true;
    this->effects.push(AdviceCall { .step = request->step,
        .servers = request->servers,
        .timeout = advice.decisionTime + advice.timePerServer * static_cast<std::int64_t>(request->servers.size())
            + queueingSlack,
        .done = [this, request = *request, validity = advice.ticketValidity, now, callGeneration = this->generation](
                    const AdviceResult& result) {
            if (callGeneration == this->generation)
                this->handleAnswer(request, validity, now, result);
        } });
}

void AdviceController::handleAnswer(
    const Request& request, Duration validity, SteadyTime sentAt, const AdviceResult& result)
{
    this->callOpen = false;
    const SteadyTime now = this->clock();
    const auto* answer = std::get_if<AdviceAnswer>(&result);
    if (!answer) {
        this->nextCall = now + retryPause;
        this->effects.log(Event::AdviceMissing,
            { { "step", formatTaskName(request.step) }, { "servers", request.servers.size() },
                { "busy", std::get<AdviceError>(result) == AdviceError::Busy } });
        return;
    }
    Step* known = this->board.findStep(request.step);
    if (!known)
        return; // the job has ended in the meantime
    Step& step = *known;
    std::set<std::string> denied(request.servers.begin(), request.servers.end());
    for (const auto& [server, ticket] : answer->allowed) {
        denied.erase(server);
        // The validity counts from the sending of the request, since the ticket may have been issued right after it.
        step.tickets[server] = { ticket, sentAt + (answer->validity.count() > 0 ? answer->validity : validity) };
    }
    step.deniedServers.insert(denied.begin(), denied.end());
    this->changed = true;
    this->effects.log(Event::AdviceTaken,
        { { "step", formatTaskName(request.step) }, { "asked", request.servers.size() },
            { "allowed", answer->allowed.size() } });
}

} // namespace WisteriaHill::Scheduling
