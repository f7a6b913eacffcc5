#include "scheduling/advice/advicecontroller.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Advice {

using Utils::Event;

namespace {

constexpr std::size_t serversPerRequest = 30; ///< the decision time grows with each server and delays all tickets
constexpr Duration queueingSlack { 800 }; ///< added to the announced decision time for queued calls of other daemons
constexpr Duration retryPause { 150 };
constexpr Duration firstRejectionPause { 250 };
constexpr Duration longestRejectionPause { 30'000 };
constexpr Duration ticketMargin { 400 }; ///< remaining validity of a usable ticket: the start order has to arrive

/// `first`, doubled with each further time.
Duration pauseAfter(int times, Duration first, Duration longest)
{
    Duration pause = first;
    for (int count = 1; count < times && pause < longest; ++count)
        pause *= 2;
    return std::min(pause, longest);
}

Duration elapsed(SteadyTime since, SteadyTime now) { return std::chrono::duration_cast<Duration>(now - since); }

} // namespace

bool hasTicket(const Queue& queue, const Step& step, const BackendServer& server, SteadyTime now)
{
    return !queue.advice || step.advice.stateOf(server.address.id, server.startOfLife(), now) == TicketState::Usable;
}

std::vector<NamedServer> AdviceController::serversToQuery(
    const Step& step, const StepSpecification& wanted, const Queue& queue, const Usable& usable, SteadyTime now) const
{
    const Resources need = countedNeed(wanted);
    int covered = 0;
    std::vector<std::pair<std::int64_t, NamedServer>> candidates;
    for (const auto& [id, server] : this->board.servers) {
        if (server.service != queue.service || !usable(server) || !hasRequiredLabel(server.labels, wanted))
            continue;
        const Resources free = server.freeCapacity();
        if (!free.holds(need))
            continue;
        const TicketState state = step.advice.stateOf(id, server.startOfLife(), now);
        if (state == TicketState::Usable)
            ++covered;
        else if (state != TicketState::Denied && state != TicketState::Rejected)
            candidates.push_back({ free.accelerators, { id, server.startOfLife() } });
    }
    const int waiting = static_cast<int>(step.tasks.size()) - step.done - step.running;
    if (covered >= waiting)
        return {};
    // One ticket allows several tasks, so servers with more free accelerators come first.
    std::ranges::stable_sort(candidates, std::greater(), &std::pair<std::int64_t, NamedServer>::first);
    candidates.resize(std::min(candidates.size(), serversPerRequest));
    std::vector<NamedServer> servers;
    servers.reserve(candidates.size());
    for (const auto& [free, server] : candidates)
        servers.push_back(server);
    return servers;
}

std::optional<AdviceController::Request> AdviceController::nextRequest(const Usable& usable, SteadyTime now) const
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
                std::vector<NamedServer> servers
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

void AdviceController::tick(const Usable& usable, SteadyTime now)
{
    if (this->callOpen || now < this->nextCall || !this->board.hasAdvisedQueues)
        return;
    std::optional<Request> request = this->nextRequest(usable, now);
    if (!request)
        return;
    const PlacementAdvice& advice = *request->queue->advice;
    this->callOpen = true;
    std::vector<std::string> servers;
    servers.reserve(request->servers.size());
    for (const NamedServer& server : request->servers)
        servers.push_back(server.id);
    this->effects.push(AdviceCall { .step = request->step,
        .servers = std::move(servers),
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
    const Duration valid = answer->validity.count() > 0 ? answer->validity : validity;
    std::map<std::string, std::int64_t> unanswered;
    for (const NamedServer& server : request.servers)
        unanswered.emplace(server.id, server.life);
    for (const auto& [server, text] : answer->allowed) {
        const auto named = unanswered.find(server);
        if (named == unanswered.end())
            continue;
        // The validity counts from the sending of the request, since the ticket may have been issued right after it.
        step.advice.tickets[server] = { .text = text,
            .life = named->second,
            .calledAt = sentAt,
            .answeredAt = now,
            .validity = valid,
            .usableUntil = sentAt + valid - ticketMargin };
        unanswered.erase(named);
    }
    for (const auto& [server, life] : unanswered) {
        step.advice.denied[server] = life;
        step.advice.tickets.erase(server);
    }
    this->changed = true;
    this->effects.log(Event::AdviceTaken,
        { { "step", formatTaskName(request.step) }, { "asked", request.servers.size() },
            { "allowed", answer->allowed.size() } });
}

void AdviceController::ticketUsed(const UsedTicket& used, SteadyTime now)
{
    Step* step = this->board.findStep(used.task);
    if (!step)
        return;
    StepTickets& tickets = step->advice;
    const auto known = tickets.tickets.find(used.server);
    if (known == tickets.tickets.end() || known->second.text != used.text)
        return; // another ticket has taken its place
    if (used.accepted) {
        tickets.rejections.erase(used.server);
        return;
    }
    Rejection& rejection = tickets.rejections[used.server];
    if (rejection.life != known->second.life)
        rejection = { .life = known->second.life };
    ++rejection.count;
    rejection.askAgainAt = now + pauseAfter(rejection.count, firstRejectionPause, longestRejectionPause);
    this->effects.log(Event::TicketRejected,
        { { "task", formatTaskName(used.task) }, { "server", used.server }, { "life", known->second.life },
            { "sinceCallMs", elapsed(known->second.calledAt, used.sentAt).count() },
            { "sinceAnswerMs", elapsed(known->second.answeredAt, used.sentAt).count() },
            { "validMs", known->second.validity.count() }, { "rejections", rejection.count } });
    known->second.text.clear(); // the advice allows the server all the same
    known->second.usableUntil = now;
    this->changed = true;
}

} // namespace WisteriaHill::Scheduling::Advice
