#include "scheduling/servermonitor.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// A server answers a poll at the next end of a run or after this time; well under the lease, so that two polls can
/// fail.
constexpr Duration pollWait { 1500 };
/// Wait of frequent polls, which read the latencies of serving tasks: these are means over half a second.
constexpr Duration shortPollWait { 500 };
/// A poll without an answer this long after its wait has failed; round trips take a few milliseconds.
constexpr Duration pollTimeoutMargin { 700 };
/// Orders are sent as soon as they are decided; the sweep resends those that failed or had no answer.
constexpr Duration orderSweepInterval { 50 };
/// Answers of a server arrive at least this often unless it is unreachable or this daemon was paused.
constexpr Duration longestAnswerInterval = pollWait + pollTimeoutMargin;
constexpr Duration failedPollPause { 150 };
/// Poll interval of a server with end records that are not stored, which answers every poll at once. The polls renew
/// its lease.
constexpr Duration unstoredEndPollInterval { 1500 };
/// Poll interval of a server without runs, to detect runs that a delayed order has started.
constexpr Duration idlePollInterval { 5000 };
/// The clocks of backend servers may be slow by 2%; the margin covers the transit time of an order.
constexpr int leaseClockPercent = 102;
constexpr Duration leaseMargin { 300 };
/// A server that crashed may crash again.
constexpr Duration restartAvoidancePeriod { 8000 };

bool needsPolling(const BackendServer& server)
{
    return !server.fenced || !server.occupants.empty() || server.lastProcessedEnd > server.lastDiscardedEnd;
}

/// True when a poll sent at `sentAt` would list the run if it still existed on the server.
bool mustHaveEnded(const Run& run, SteadyTime sentAt, Duration stopTime)
{
    if (run.stopConfirmedAt)
        return *run.stopConfirmedAt + stopTime < sentAt;
    return run.phase == RunPhase::Active && run.phaseSince < sentAt;
}

} // namespace

void ServerMonitor::begin(FencingToken newToken, SteadyTime now)
{
    this->token = newToken;
    for (auto& [id, server] : this->board.servers) {
        server.fenced = false;
        server.grantedUntil = {};
        server.nextPollAt = now;
        server.pollSoon = true;
        this->extendLease(server, now);
    }
}

bool ServerMonitor::isUsable(const BackendServer& server) const
{
    return server.present && !server.draining && !server.evacuating && server.fenced && server.unansweredPolls == 0
        && !this->board.evacuatedZones.contains(server.zone);
}

Run* ServerMonitor::currentRun(const TaskName& name, int attempt)
{
    Task* task = this->board.findTask(name);
    return task && task->run && task->run->attempt == attempt ? &*task->run : nullptr;
}

ServerTime ServerMonitor::leaseEndFor(const BackendServer& server, SteadyTime now) const
{
    return server.clock + std::chrono::duration_cast<ServerTime>(now - server.clockReadAt) + this->options.maximumLease;
}

Duration ServerMonitor::longestLease() const
{
    return this->options.maximumLease * leaseClockPercent / 100 + leaseMargin;
}

void ServerMonitor::extendLease(BackendServer& server, SteadyTime now) const
{
    server.leaseEnd = std::max<SteadyTime>(server.leaseEnd, now + this->longestLease());
}

ServerTime ServerMonitor::renewLease(BackendServer& server, SteadyTime now) const
{
    server.grantedUntil = this->leaseEndFor(server, now);
    this->extendLease(server, now);
    return server.grantedUntil;
}

ServerTime ServerMonitor::leaseEndForStart(BackendServer& server, SteadyTime now) const
{
    // An unanswered start that extended the lease would delay the restart of all runs of a server that has just fallen
    // silent: they are given up when the lease has expired that the server may have received.
    const ServerTime full = this->leaseEndFor(server, now);
    const bool isLongEnough = server.grantedUntil + this->options.maximumLease / 2 >= full;
    return isLongEnough ? server.grantedUntil : this->renewLease(server, now);
}

bool ServerMonitor::leasesAreOver(const BackendServer& server, SteadyTime now) const
{
    // A server that has not seen this leader's token still obeys a former one, which may reach it from a zone that is
    // cut off.
    return now > server.leaseEnd
        && (server.fenced || now > this->leadership.formerLeadersUntil() + this->longestLease());
}

void ServerMonitor::tick(SteadyTime now)
{
    for (auto& [id, server] : this->board.servers) {
        if (!server.pollOpen && now >= server.nextPollAt && server.address.port != 0)
            this->poll(server, now);
    }
    this->expireServers(now);
    if (now < this->nextOrderSweep)
        return;
    this->nextOrderSweep = now + orderSweepInterval;
    for (auto& [id, job] : this->board.jobs) {
        for (auto& [index, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.steps[step].running == 0)
                    continue;
                std::vector<Task>& tasks = occurrence.steps[step].tasks;
                for (std::size_t position = 0; position < tasks.size(); ++position) {
                    const std::optional<Run>& run = tasks[position].run;
                    if (!run || run->orderOpen || now < run->nextOrderAt)
                        continue;
                    const TaskName name { id, index, static_cast<int>(step), static_cast<int>(position) };
                    if (run->phase == RunPhase::Stopping)
                        this->orderStop(name, now);
                    else if (run->phase == RunPhase::Ordered)
                        this->orderStart(name, now);
                }
            }
        }
    }
}

void ServerMonitor::expireServers(SteadyTime now)
{
    for (auto entry = this->board.servers.begin(); entry != this->board.servers.end();) {
        BackendServer& server = entry->second;
        const bool silent = server.unansweredPolls > 0 || server.address.port == 0;
        if (silent && !server.occupants.empty() && this->leasesAreOver(server, now)) {
            std::map<TaskName, Resources> unlisted;
            if (now <= server.unlistedLeaseEnd)
                unlisted = this->extractUnlistedRuns(server);
            if (!server.occupants.empty())
                this->markRunsLost(server, RunLoss::ServerGone, now);
            server.occupants.merge(unlisted);
        }
        if (!server.present && server.occupants.empty() && !server.pollOpen && now > server.leaseEnd)
            entry = this->board.servers.erase(entry);
        else
            ++entry;
    }
}

std::map<TaskName, Resources> ServerMonitor::extractUnlistedRuns(BackendServer& server)
{
    std::map<TaskName, Resources> unlisted;
    for (auto occupant = server.occupants.begin(); occupant != server.occupants.end();) {
        const auto next = std::next(occupant);
        const Task* task = this->board.findTask(occupant->first);
        if (task && task->run && task->run->server == server.address.id && task->run->startSent && !task->run->listed
            && !task->run->adopted)
            unlisted.insert(server.occupants.extract(occupant));
        occupant = next;
    }
    return unlisted;
}

void ServerMonitor::acknowledgeEnds(
    const std::string& id, std::int64_t number, std::int64_t incarnation, SteadyTime now)
{
    const auto found = this->board.servers.find(id);
    if (found == this->board.servers.end() || found->second.incarnation != incarnation
        || number <= found->second.lastStoredEnd)
        return;
    found->second.lastStoredEnd = number;
    this->board.unstoredSuccesses.removeStored(id, number);
    found->second.nextPollAt = now;
}

void ServerMonitor::markRunsLost(BackendServer& server, RunLoss loss, SteadyTime now)
{
    if (loss == RunLoss::ServerGone && !server.leavesAsPlanned())
        this->crashes.rememberLost(server, now);
    const std::map<TaskName, Resources> occupants = std::exchange(server.occupants, {});
    for (const auto& [name, need] : occupants) {
        const Task* task = this->board.findTask(name);
        if (task && task->run && task->run->server == server.address.id)
            this->tracker.runLost(name, loss, now);
    }
    this->changed = true;
}

void ServerMonitor::compareLives(BackendServer& server, SteadyTime now)
{
    if (server.machine.empty())
        return;
    const auto isLater = [](const BackendServer& left, const BackendServer& right) {
        return left.hasConfirmedEntry() && right.startOfLife() != 0 && left.incarnation > right.startOfLife();
    };
    for (auto& [id, other] : this->board.servers) {
        if (other.machine != server.machine || id == server.address.id)
            continue;
        if (isLater(server, other))
            this->replace(other, server, now);
        else if (isLater(other, server))
            this->replace(server, other, now);
    }
}

void ServerMonitor::replace(BackendServer& earlier, const BackendServer& successor, SteadyTime now)
{
    this->effects.log(Event::MachineReturned,
        { { "machine", earlier.machine }, { "server", successor.address.id }, { "startedAt", successor.incarnation },
            { "known", earlier.address.id }, { "knownStartedAt", earlier.startOfLife() },
            { "runs", earlier.occupants.size() }, { "failedLooks", earlier.unansweredPolls } });
    earlier.replaced = true;
    // Nobody can answer for a server without an entry.
    if (earlier.unansweredPolls > 0 || earlier.address.port == 0)
        this->endReplaced(earlier, now);
    else
        this->pollAtOnce(earlier.address.id, now);
}

bool ServerMonitor::isSettled(const BackendServer& server, SteadyTime now) const
{
    return server.occupants.empty() && !server.pollOpen && now > server.leaseEnd
        && server.lastDiscardedEnd >= server.lastProcessedEnd;
}

void ServerMonitor::endReplaced(BackendServer& server, SteadyTime now)
{
    constexpr std::int64_t none = 0;
    std::vector<ExposedRun> exposed;
    if (!server.leavesAsPlanned())
        exposed = this->crashes.exposedRuns(server, none, server.clockReadAt);
    this->markRunsLost(server, RunLoss::ServerRestarted, now);
    server.present = false;
    if (!exposed.empty())
        this->crashes.handleRestart(server, exposed, now);
    this->crashes.judgeLost(server, none, now);
}

bool ServerMonitor::mayRenewLeases(SteadyTime now)
{
    const bool expired = this->leadership.renewalsHaveExpired(now);
    if (expired && !this->renewalsExpired)
        this->effects.log(Event::RenewalsEnded,
            { { "term", this->token }, { "unconfirmedMs", this->leadership.unconfirmedFor(now).count() } });
    this->renewalsExpired = expired;
    return this->leadership.mayRenewLeases(now);
}

void ServerMonitor::poll(BackendServer& server, SteadyTime now)
{
    const bool acknowledgementDue = server.lastStoredEnd > server.lastDiscardedEnd;
    // After a restart the server numbers its end records anew. An acknowledgement from before an unnoticed restart
    // would make it discard records that were never read.
    const bool sameIncarnation = server.unansweredPolls == 0 && now - server.clockReadAt <= answerFreshness;
    PollOrder order { .token = this->token,
        .acknowledged = acknowledgementDue && sameIncarnation ? server.lastStoredEnd : 0 };
    const bool answerAtOnce = server.pollSoon || server.lastProcessedEnd > server.lastStoredEnd
        || (acknowledgementDue && !sameIncarnation) || server.hasUnlistedEnds || !server.fenced
        || server.occupants.empty();
    order.wait = answerAtOnce ? Duration(0) : this->needsFrequentPolls(server) ? shortPollWait : pollWait;
    // A server that does not answer gets no new lease, so that its runs are certain to be over when the lease expires.
    // A leader that the store has not confirmed for long renews none either: a successor counts on it.
    if (!server.occupants.empty() && server.incarnation != 0 && server.unansweredPolls == 0 && !server.pollReplaced
        && this->mayRenewLeases(now))
        order.leaseEnd = this->renewLease(server, now);
    server.pollReplaced = false;
    server.pollOpen = true;
    server.pollMayWait = order.wait.count() > 0;
    server.pollSoon = false;
    const std::uint64_t serial = ++this->lastPollSerial;
    server.pollSerial = serial;
    this->effects.push(ServerCall { .server = server.address,
        .order = order,
        .timeout = order.wait + pollTimeoutMargin,
        .done
        = [this, id = server.address.id, serial, now, acknowledged = order.acknowledged](const OrderResult& result) {
              this->handlePollResult(id, serial, { now, acknowledged }, result);
          } });
}

void ServerMonitor::handlePollResult(
    const std::string& id, std::uint64_t serial, const SentPoll& poll, const OrderResult& result)
{
    const SteadyTime now = this->clock();
    const auto found = this->board.servers.find(id);
    if (found == this->board.servers.end() || found->second.pollSerial != serial)
        return;
    BackendServer& server = found->second;
    server.pollOpen = false;
    if (const auto* answer = std::get_if<PollAnswer>(&result)) {
        this->processPollAnswer(server, *answer, poll, now);
        return;
    }
    if (const auto* refusal = std::get_if<OrderRefusal>(&result)) {
        this->effects.log(Event::LookRefused, { { "server", id }, { "reason", orderRefusalName(*refusal) } });
        if (*refusal == OrderRefusal::Fenced) {
            this->fenced(now);
            return;
        }
    }
    if (server.unansweredPolls++ == 0)
        this->effects.log(Event::ServerUnreachable,
            { { "server", id }, { "address", server.address.address }, { "runs", server.occupants.size() },
                { "leaseLeftMs", std::chrono::duration_cast<Duration>(server.leaseEnd - now).count() } });
    server.nextPollAt = now + failedPollPause;
    server.pollSoon = true;
    this->changed = true;
    if (server.replaced)
        this->endReplaced(server, now);
}

void ServerMonitor::processPollAnswer(
    BackendServer& server, const PollAnswer& answer, const SentPoll& poll, SteadyTime now)
{
    if (server.unansweredPolls > 0)
        this->effects.log(Event::ServerReachable,
            { { "server", server.address.id }, { "failedLooks", server.unansweredPolls },
                { "incarnation", answer.startedAt } });
    if (server.unansweredPolls > 0 || !server.fenced)
        this->changed = true;
    server.unansweredPolls = 0;
    if (!server.fenced)
        this->extendLease(server, now); // a former leader may have renewed the lease until just now
    server.fenced = true;
    server.replaced = false;
    const SteadyTime lastAnswer = std::exchange(server.clockReadAt, now);
    const bool afterGap = now - lastAnswer > longestAnswerInterval;
    server.clock = answer.clock;
    server.hasUnlistedEnds = answer.moreEnded;
    const bool isOtherLife = server.incarnation != answer.startedAt;
    if (isOtherLife)
        this->handleRestart(server, answer, poll.sentAt, lastAnswer, now);
    else
        server.lastDiscardedEnd = std::max(server.lastDiscardedEnd, poll.acknowledged);
    this->crashes.judgeLost(server, server.incarnation, now);
    if (isOtherLife)
        this->compareLives(server, now);
    for (const EndedRun& ended : answer.ended) {
        if (ended.number <= server.lastProcessedEnd)
            continue;
        this->tracker.runEnded(server, ended, now);
        server.lastProcessedEnd = ended.number;
        this->changed = true;
    }
    this->reconcileRuns(server, answer, poll.sentAt, afterGap, now);
    server.nextPollAt = needsPolling(server) ? now : now + idlePollInterval;
    if (server.lastProcessedEnd > server.lastStoredEnd && server.lastStoredEnd == server.lastDiscardedEnd)
        server.nextPollAt = now + unstoredEndPollInterval; // at once when acknowledgeEnds() is called before
}

void ServerMonitor::handleRestart(
    BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, SteadyTime lastAnswer, SteadyTime now)
{
    const bool first = server.incarnation == 0;
    std::vector<ExposedRun> exposed = this->crashes.exposedRuns(server, answer.startedAt, lastAnswer);
    server.incarnation = answer.startedAt;
    server.lastProcessedEnd = 0;
    server.lastStoredEnd = 0;
    server.lastDiscardedEnd = 0;
    server.grantedUntil = {};
    std::set<TaskName> known;
    for (const ActiveRun& active : answer.active)
        known.insert(active.task);
    for (const EndedRun& ended : answer.ended)
        known.insert(ended.task); // started after the restart; its end is processed next
    if (!first)
        this->effects.log(Event::ServerRestarted,
            { { "server", server.address.id }, { "incarnation", answer.startedAt },
                { "runs", server.occupants.size() } });
    const std::map<TaskName, Resources> occupants = server.occupants;
    for (const auto& [name, need] : occupants) {
        Task* task = this->board.findTask(name);
        const bool current = task && task->run && task->run->server == server.address.id;
        if (!current) {
            server.occupants.erase(name);
            continue;
        }
        if (task->run->incarnation == answer.startedAt || known.contains(name))
            continue;
        // An unanswered start may still reach the new incarnation, which knows of no earlier order. A start that is
        // still wanted is sent again, and the answer settles the run; else the stop is ordered there, unless the start
        // was sent too long ago.
        task->run->incarnation = answer.startedAt;
        task->run->orderedAt = now;
        task->run->firstSentAt.reset();
        task->run->omitted = false;
        task->run->listed = false;
        task->run->activeSince.reset();
        const bool mayStart = task->run->startUnanswered && now - task->run->unansweredAt < lateExecutionTime;
        if (mayStart && task->run->phase != RunPhase::Ordered) {
            task->run->stopConfirmedAt.reset();
            task->run->nextOrderAt = now;
            this->tracker.requestStop(name, "the server restarted while a start had no answer", now);
        }
        if (!answer.moreEnded && mustHaveEnded(*task->run, sentAt, this->options.stopTime))
            this->tracker.runLost(name, RunLoss::ServerRestarted, now);
    }
    // A run that the answer has no room for may have started, and ended, after the restart.
    std::erase_if(exposed, [&](const ExposedRun& run) { return answer.moreEnded || known.contains(run.name); });
    if (!first)
        server.avoidUntil = std::max(server.avoidUntil, now + restartAvoidancePeriod);
    if (!exposed.empty())
        this->crashes.handleRestart(server, exposed, now);
    this->changed = true;
}

void ServerMonitor::reconcileRuns(
    BackendServer& server, const PollAnswer& answer, SteadyTime sentAt, bool afterGap, SteadyTime now)
{
    std::map<TaskName, int> reportedAttempts;
    for (const ActiveRun& active : answer.active) {
        reportedAttempts[active.task] = active.attempt;
        this->updateRun(server, active, afterGap, now);
    }
    std::size_t undecided = 0; // runs that an answer with all end records would show as over
    const std::map<TaskName, Resources> occupants = server.occupants;
    for (const auto& [name, need] : occupants) {
        if (reportedAttempts.contains(name))
            continue;
        Task* task = this->board.findTask(name);
        if (!task || !task->run || task->run->server != server.address.id) {
            server.occupants.erase(name);
            this->changed = true;
            continue;
        }
        if (!answer.moreEnded && task->run->firstSentAt && *task->run->firstSentAt < sentAt)
            task->run->omitted = true;
        if (mustHaveEnded(*task->run, sentAt, this->options.stopTime)) {
            // Its end may be one that the answer has no room for. Later answers list the rest once the ends of this one
            // are stored; until then the run keeps its task, its capacity and its lease.
            if (answer.moreEnded) {
                ++undecided;
                continue;
            }
            this->tracker.runLost(name, RunLoss::NotListed, now);
            this->changed = true;
        }
    }
    if (undecided > 0)
        this->effects.log(Event::EndRecordsCut,
            { { "server", server.address.id }, { "incarnation", server.incarnation }, { "listed", answer.ended.size() },
                { "processedUpTo", server.lastProcessedEnd }, { "storedUpTo", server.lastStoredEnd },
                { "runsUndecided", undecided } });
}

void ServerMonitor::updateRun(BackendServer& server, const ActiveRun& active, bool afterGap, SteadyTime now)
{
    Task* task = this->board.findTask(active.task);
    const bool current
        = task && task->run && task->run->attempt == active.attempt && task->run->server == server.address.id;
    if (!current) {
        // A delayed order started this run, or its task or gang was marked as done without it.
        const auto job = this->board.jobs.find(active.task.jobId);
        if (job != this->board.jobs.end() && task)
            server.occupants.emplace(active.task, countedNeed(this->board.stepOf(active.task)));
        this->effects.log(Event::StrayRun,
            { { "task", formatTaskName(active.task) }, { "attempt", active.attempt },
                { "server", server.address.id } });
        this->effects.push(ServerCall { .server = server.address,
            .order = StopOrder { .task = active.task, .attempt = active.attempt, .token = this->token },
            .timeout = orderTimeout,
            .done = [](const OrderResult&) {} }); // the next poll shows whether the run was stopped
        return;
    }
    Run& run = *task->run;
    this->tracker.runConfirmed(active.task, now);
    run.listedAt = now;
    run.listed = true;
    if (!active.checkpoint.empty()) {
        const StepSpecification& step = this->board.stepOf(active.task);
        Task& checkpointOwner = step.gang
            ? *this->board.findTask({ active.task.jobId, active.task.occurrence, active.task.step, 0 })
            : *task;
        checkpointOwner.checkpoint = active.checkpoint;
    }
    if (run.percent != active.percent || afterGap)
        run.progressedAt = now;
    this->tracker.runProgressed(server, active.task, run, active.percent, now);
    run.percent = active.percent;
    run.load = active.load;
}

} // namespace WisteriaHill::Scheduling
