#include "scheduling/advice/advicecontroller.h"

#include <algorithm>
#include <tuple>

namespace WisteriaHill::Scheduling::Advice {

using Utils::Event;

namespace {

constexpr Duration retryPause { 150 };
constexpr Duration longestRetryPause { 2000 };
constexpr Duration lookPause { 50 }; ///< of a step that needs no ticket or could not use one
constexpr std::size_t looksPerTick = 64; ///< each examines every server
constexpr Duration firstRepeatPause { 250 }; ///< of a step whose tickets led to no start
constexpr Duration longestRepeatPause { 1500 };
constexpr int trialDoublings = 7; ///< the service takes calls of up to 100 servers
constexpr Duration firstRejectionPause { 250 };
constexpr Duration longestRejectionPause { 30'000 };

/// `first`, doubled with each further time.
Duration pauseAfter(int times, Duration first, Duration longest)
{
    Duration pause = first;
    for (int count = 1; count < times && pause < longest; ++count)
        pause *= 2;
    return std::min(pause, longest);
}

/// Sets the times until which the ticket is valid and can be used.
void countFrom(ValidityStart start, Ticket& ticket)
{
    if (ticket.validity.count() <= 0) {
        ticket.end = ticket.usableUntil = SteadyTime::max();
        return;
    }
    ticket.end = (start == ValidityStart::Call ? ticket.calledAt : ticket.answeredAt) + ticket.validity;
    // The answer has to leave as much time for the placement as for the order.
    const Duration margin = orderMargin(ticket.validity);
    const bool isTight = ticket.answeredAt + 2 * margin > ticket.end;
    ticket.usableUntil = ticket.end - (isTight ? tightMargin(ticket.validity) : margin);
}

Duration elapsed(SteadyTime since, SteadyTime now) { return std::chrono::duration_cast<Duration>(now - since); }

} // namespace

bool hasTicket(const Queue& queue, const Step& step, const BackendServer& server, SteadyTime now)
{
    return !queue.advice || step.advice.stateOf(server.address.id, server.startOfLife(), now) == TicketState::Usable;
}

void AdviceController::begin()
{
    ++this->generation;
    this->callOpen = false;
    this->accountTurns.clear();
    this->continued.reset();
}

PlacementAdvice AdviceController::figuresOf(const Queue& queue, SteadyTime now)
{
    ServiceTiming& timing = this->timings[queue.name];
    timing.announce(*queue.advice);
    return timing.figures(now);
}

std::vector<AdvisedStep> AdviceController::waitingSteps(SteadyTime now) const
{
    std::vector<AdvisedStep> steps;
    for (const auto& [id, job] : this->board.jobs) {
        const Queue* queue = job.ended() ? nullptr : job.queue;
        if (!queue || !queue->advice)
            continue;
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t number = 0; number < occurrence.steps.size(); ++number) {
                const Step& step = occurrence.steps[number];
                if (step.ready && step.done + step.running < static_cast<int>(step.tasks.size())
                    && now >= step.advice.nextLookAt)
                    steps.push_back({ .name = { id, index, static_cast<int>(number), 0 },
                        .job = &job,
                        .state = &step,
                        .specification = &job.record.specification.steps[number],
                        .queue = queue });
            }
        }
    }
    return steps;
}

std::optional<AdvisedStep> AdviceController::continuedStep() const
{
    if (!this->continued)
        return std::nullopt;
    const auto job = this->board.jobs.find(this->continued->jobId);
    const Step* step = this->board.findStep(*this->continued);
    if (job == this->board.jobs.end() || !step || job->second.ended() || !job->second.queue
        || !job->second.queue->advice)
        return std::nullopt;
    return AdvisedStep { .name = *this->continued,
        .job = &job->second,
        .state = step,
        .specification = &this->board.stepOf(*this->continued),
        .queue = job->second.queue };
}

std::optional<AdviceController::Request> AdviceController::requestFor(
    const AdvisedStep& step, const Usable& usable, SteadyTime now)
{
    const PlacementAdvice figures = this->figuresOf(*step.queue, now);
    CallSelection selection = selectServers(this->board, step, figures, this->evidence.proven(now), usable, now);
    if (selection.servers.empty()) {
        this->board.findStep(step.name)->advice.nextLookAt = now + lookPause;
        return std::nullopt;
    }
    const Duration timeout = this->timings.at(step.queue->name).timeout(selection.servers.size(), now);
    return Request { .step = step.name,
        .queue = step.queue->name,
        .account = step.job->record.account,
        .figures = figures,
        .selection = std::move(selection),
        .sentAt = now,
        .timeout = timeout };
}

std::optional<AdviceController::Request> AdviceController::nextRequest(const Usable& usable, SteadyTime now)
{
    if (const std::optional<AdvisedStep> step = this->continuedStep()) {
        this->continued.reset();
        if (std::optional<Request> request = this->requestFor(*step, usable, now))
            return request;
    }
    std::vector<AdvisedStep> steps = this->waitingSteps(now);
    const auto turnOf = [&](const AdvisedStep& step) {
        const auto turn = this->accountTurns.find(step.job->record.account);
        const StepTickets& advice = step.state->advice;
        return std::tuple(this->firstCallsFirst && advice.callsSinceStart > 0, step.queue->priority,
            turn == this->accountTurns.end() ? SteadyTime {} : turn->second, advice.lastCallAt, step.state->readySince);
    };
    const std::size_t looks = std::min(steps.size(), looksPerTick);
    std::ranges::partial_sort(steps, steps.begin() + static_cast<std::ptrdiff_t>(looks), {}, turnOf);
    for (std::size_t index = 0; index < looks; ++index) {
        if (std::optional<Request> request = this->requestFor(steps[index], usable, now))
            return request;
    }
    return std::nullopt;
}

void AdviceController::tick(const Usable& usable, SteadyTime now)
{
    if (this->callOpen || now < this->nextCall || !this->board.hasAdvisedQueues)
        return;
    std::optional<Request> request = this->nextRequest(usable, now);
    if (!request)
        return;
    this->callOpen = true;
    StepTickets& tickets = this->board.findStep(request->step)->advice;
    this->firstCallsFirst = tickets.callsSinceStart > 0;
    tickets.lastCallAt = now;
    this->accountTurns[request->account] = now;
    std::vector<std::string> servers;
    servers.reserve(request->selection.servers.size());
    for (const NamedServer& server : request->selection.servers)
        servers.push_back(server.id);
    this->effects.push(AdviceCall { .step = request->step,
        .servers = std::move(servers),
        .timeout = request->timeout,
        .done = [this, request = *request, callGeneration = this->generation](const AdviceResult& result) {
            if (callGeneration == this->generation)
                this->handleAnswer(request, result);
        } });
}

void AdviceController::handleFailure(const Request& request, AdviceError error, SteadyTime now)
{
    const Duration waited = elapsed(request.sentAt, now);
    const bool timedOut = error == AdviceError::NoAnswer && waited >= request.timeout;
    if (const auto timing = this->timings.find(request.queue); timedOut && timing != this->timings.end())
        timing->second.timedOut(request.selection.servers.size(), waited, now);
    ++this->failedCalls;
    this->nextCall = now + pauseAfter(this->failedCalls, retryPause, longestRetryPause);
    this->effects.log(Event::AdviceMissing,
        { { "step", formatTaskName(request.step) }, { "servers", request.selection.servers.size() },
            { "busy", error == AdviceError::Busy }, { "timedOut", timedOut }, { "waitedMs", waited.count() },
            { "announcedMs", decisionTime(request.figures, request.selection.servers.size()).count() },
            { "failedCalls", this->failedCalls } });
}

void AdviceController::handleAnswer(const Request& request, const AdviceResult& result)
{
    this->callOpen = false;
    const SteadyTime now = this->clock();
    const auto* answer = std::get_if<AdviceAnswer>(&result);
    if (!answer) {
        this->handleFailure(request, std::get<AdviceError>(result), now);
        return;
    }
    this->failedCalls = 0;
    if (const auto timing = this->timings.find(request.queue); timing != this->timings.end())
        timing->second.answered(request.selection.servers.size(), elapsed(request.sentAt, now), answer->validity, now);
    Step* step = this->board.findStep(request.step);
    if (!step)
        return; // the job has ended in the meantime
    this->storeTickets(request, *answer, *step, now);
    if (request.selection.partial)
        this->continued = request.step;
    this->changed = true;
}

void AdviceController::storeTickets(const Request& request, const AdviceAnswer& answer, Step& step, SteadyTime now)
{
    const Duration validity = answer.validity.count() > 0 ? answer.validity : request.figures.ticketValidity;
    const std::optional<ValidityStart> proven = this->evidence.proven(now);
    Ticket ticket { .calledAt = request.sentAt, .answeredAt = now, .validity = validity };
    countFrom(ValidityStart::Call, ticket);
    const bool isCertain = now < ticket.usableUntil;
    const bool isGang = this->board.stepOf(request.step).gang;
    const ValidityStart start = proven.value_or(isCertain && !isGang ? ValidityStart::Call
            : isCertain                                              ? request.selection.validityStart
                                                                     : ValidityStart::Answer);
    countFrom(start, ticket);
    const SteadyTime usableUntil = ticket.usableUntil;
    // An order that is late is still sent while no start has shown from when tickets count: its answer shows it.
    if (!proven && validity.count() > 0)
        ticket.end = now + validity;
    // A ticket that is certainly over may be valid still. Only a start can show it, and one start is enough, but the
    // planner may have no use for the first servers.
    const bool isTrial = !proven && !isCertain && !isGang;
    const std::size_t triedTickets = std::size_t { 1 } << std::min(step.advice.callsSinceStart, trialDoublings);
    // The servers that the answer does not allow, with their lives.
    std::map<std::string, std::int64_t> refused;
    for (const NamedServer& server : request.selection.servers)
        refused.emplace(server.id, server.life);
    std::size_t allowed = 0;
    for (const auto& [server, text] : answer.allowed) {
        const auto named = refused.find(server);
        if (named == refused.end())
            continue;
        ++allowed;
        ticket.text = text;
        ticket.life = named->second;
        if (isTrial && allowed > triedTickets)
            ticket.usableUntil = now;
        step.advice.tickets[server] = ticket;
        refused.erase(named);
    }
    for (const auto& [server, life] : refused) {
        step.advice.denied[server] = life;
        step.advice.tickets.erase(server);
    }
    ++step.advice.callsSinceStart;
    // A denial is news: the next call names other servers.
    if (refused.empty() && step.advice.callsSinceStart > 1)
        step.advice.nextLookAt
            = now + pauseAfter(step.advice.callsSinceStart - 1, firstRepeatPause, longestRepeatPause);
    const Duration usable = usableUntil == SteadyTime::max() ? Duration::max() : elapsed(now, usableUntil);
    const bool areUsable = allowed == 0 || usable.count() > 0;
    this->effects.log(areUsable ? Event::AdviceTaken : Event::TicketsUnusable,
        { { "step", formatTaskName(request.step) }, { "asked", request.selection.servers.size() },
            { "allowed", allowed }, { "tookMs", elapsed(request.sentAt, now).count() },
            { "announcedMs", decisionTime(request.figures, request.selection.servers.size()).count() },
            { "validMs", validity.count() }, { "countsFrom", validityStartName(start) },
            { "countIsProven", proven.has_value() }, { "trial", isTrial }, { "usableMs", usable.count() },
            { "callsSinceStart", step.advice.callsSinceStart } });
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
    const bool learned = this->evidence.learn(known->second, used.accepted, used.sentAt, now);
    if (learned)
        this->recountTickets(now);
    if (used.accepted) {
        tickets.rejections.erase(used.server);
        return;
    }
    // The next ticket is requested without a pause when this one was over, whatever its validity counts from.
    if (known->second.validity.count() > 0 && used.sentAt >= known->second.answeredAt + known->second.validity)
        return;
    Rejection& rejection = tickets.rejections[used.server];
    if (rejection.life != known->second.life)
        rejection = { .life = known->second.life };
    ++rejection.count;
    if (!learned)
        rejection.askAgainAt = now + pauseAfter(rejection.count, firstRejectionPause, longestRejectionPause);
    this->effects.log(Event::TicketRejected,
        { { "task", formatTaskName(used.task) }, { "server", used.server }, { "life", known->second.life },
            { "sinceCallMs", elapsed(known->second.calledAt, used.sentAt).count() },
            { "sinceAnswerMs", elapsed(known->second.answeredAt, used.sentAt).count() },
            { "validMs", known->second.validity.count() }, { "rejections", rejection.count },
            { "showsCountFromCall", learned } });
    known->second.text.clear(); // the advice allows the server all the same
    known->second.usableUntil = now;
    this->changed = true;
}

void AdviceController::recountTickets(SteadyTime now)
{
    const ValidityStart start = *this->evidence.proven(now);
    for (auto& [id, job] : this->board.jobs) {
        for (auto& [index, occurrence] : job.occurrences) {
            for (Step& step : occurrence.steps) {
                for (auto& [server, ticket] : step.advice.tickets) {
                    if (!ticket.text.empty())
                        countFrom(start, ticket);
                }
            }
        }
    }
    this->changed = true;
}

std::string AdviceController::obstacleFor(const Queue& queue, std::size_t servers, SteadyTime now) const
{
    const auto timing = this->timings.find(queue.name);
    const PlacementAdvice figures = timing == this->timings.end() ? *queue.advice : timing->second.figures(now);
    const std::optional<ValidityStart> proven = this->evidence.proven(now);
    const ValidityStart start = proven.value_or(ValidityStart::Answer);
    if (usualCallSize(figures, start) > 0 && canBeUsedTogether(figures, servers, start))
        return {};
    return "it needs tickets for " + std::to_string(servers)
        + " servers at the same time; calls to the placement advice take "
        + std::to_string(figures.decisionTime.count()) + " ms and " + std::to_string(figures.timePerServer.count())
        + " ms for each server, and a ticket is valid for " + std::to_string(figures.ticketValidity.count())
        + " ms from the " + validityStartName(start)
        + (proven ? " on, as rejected or accepted starts have shown" : " on");
}

} // namespace WisteriaHill::Scheduling::Advice
