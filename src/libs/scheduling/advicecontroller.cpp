#include "scheduling/advicecontroller.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr std::size_t serversPerQuestion = 30; ///< more of them make the answer late for all
constexpr Duration answerSlack { 800 }; ///< beyond the announced time, for calls of other daemons in the queue
constexpr Duration retryPause { 150 };
constexpr Duration ticketReserve { 400 }; ///< a ticket is used only if it stays valid until the start arrives

} // namespace

bool hasTicket(const Queue& queue, const Step& step, const std::string& server, SteadyTime now)
{
    if (!queue.advice)
        return true;
    const auto found = step.tickets.find(server);
    return found != step.tickets.end() && now + ticketReserve < found->second.validUntil;
}

std::vector<std::string> AdviceController::serversToAsk(const Step& step, const StepSpecification& wanted,
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
    // Emptier servers take more tasks with one ticket.
    std::ranges::sort(candidates, std::greater());
    candidates.resize(std::min(candidates.size(), serversPerQuestion));
    std::vector<std::string> servers;
    servers.reserve(candidates.size());
    for (const auto& [free, id] : candidates)
        servers.push_back(id);
    return servers;
}

std::optional<AdviceController::Question> AdviceController::nextQuestion(
    const std::function<bool(const BackendServer&)>& usable, SteadyTime now) const
{
    std::optional<Question> best;
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
                    = this->serversToAsk(step, job.record.specification.steps[number], *queue, usable, now);
                if (servers.empty())
                    continue;
                best = Question { { id, index, static_cast<int>(number), 0 }, std::move(servers), queue };
                bestSince = step.readySince;
            }
        }
    }
    return best;
}

void AdviceController::tick(const std::function<bool(const BackendServer&)>& usable, SteadyTime now)
{
    if (this->callOpen || now < this->nextCall || !this->board.advisedQueues)
        return;
    std::optional<Question> question = this->nextQuestion(usable, now);
    if (!question)
        return;
    const PlacementAdvice& advice = *question->queue->advice;
    this->callOpen = true;
    this->effects.push(AdviceCall { .step = question->step,
        .servers = question->servers,
        .timeout = advice.decisionTime + advice.timePerServer * static_cast<std::int64_t>(question->servers.size())
            + answerSlack,
        .done = [this, question = *question, validity = advice.ticketValidity, now, open = this->generation](
                    const AdviceResult& result) {
            if (open == this->generation)
                this->answered(question, validity, now, result);
        } });
}

void AdviceController::answered(
    const Question& question, Duration validity, SteadyTime sentAt, const AdviceResult& result)
{
    this->callOpen = false;
    const SteadyTime now = this->clock();
    const auto* answer = std::get_if<AdviceAnswer>(&result);
    if (!answer) {
        this->nextCall = now + retryPause;
        this->effects.log(Event::AdviceMissing,
            { { "step", formatTaskName(question.step) }, { "servers", question.servers.size() },
                { "busy", std::get<AdviceError>(result) == AdviceError::Busy } });
        return;
    }
    const auto job = this->board.jobs.find(question.step.jobId);
    if (job == this->board.jobs.end())
        return;
    Step& step = job->second.occurrences.at(question.step.occurrence).stepAt(question.step.step);
    std::set<std::string> denied(question.servers.begin(), question.servers.end());
    for (const auto& [server, ticket] : answer->allowed) {
        denied.erase(server);
        // Counted from the sending: the ticket may have been issued at any time after it.
        step.tickets[server] = { ticket, sentAt + (answer->validity.count() > 0 ? answer->validity : validity) };
    }
    step.deniedServers.insert(denied.begin(), denied.end());
    this->changed = true;
    this->effects.log(Event::AdviceTaken,
        { { "step", formatTaskName(question.step) }, { "asked", question.servers.size() },
            { "allowed", answer->allowed.size() } });
}

} // namespace WisteriaHill::Scheduling
