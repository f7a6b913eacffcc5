#include "scheduling/crashcontroller.h"

#include "scheduling/attemptlimit.h"

#include <algorithm>
#include <string_view>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

/// A run that was seen running for this long did not crash its server by its start.
constexpr Duration startCrashPeriod { 2000 };
/// Starts this close to each other cannot be told apart.
constexpr Duration simultaneousStarts { 300 };
/// Time between the next starts of the suspects of one crash; longer than simultaneousStarts.
constexpr Duration suspectInterval { 500 };
/// Further suspects start together, so that none waits for long. They are separated again if they crash a server.
constexpr std::int64_t maximumSuspectPlace = 3;
/// Suspicion that ends a job: two crashes right after the start of the only suspect, or three less certain ones.
constexpr int maximumSuspicion = 6;
constexpr int suspicionOfOnlySuspect = 3;
constexpr int suspicionOfSuspect = 2;
constexpr int suspicionOfUnanswered = 1; ///< beside a newer start that was answered
/// A server that crashed under an only suspect did not answer for longer than this after the start.
constexpr Duration immediateCrashPeriod { 250 };
/// Bound for tasks that crash servers some time after their start, or beside other runs that are suspect.
constexpr int maximumCrashes = 5;
constexpr Duration massRestartPeriod { 2000 };
constexpr std::size_t massRestartServers = 5;
constexpr std::size_t massRestartPercent = 10; ///< of the servers, if that is more
constexpr Duration unreliablePeriod { 60'000 };
/// A task with so many crashes and possible crashes is not started again until a server that it was lost with answers,
/// or for this long.
constexpr std::size_t maximumPossibleCrashes = 4;
constexpr Duration verdictWait { 30'000 };

/// The server died at the latest at the first start that it did not answer. So this one is suspect and, more so, the
/// newest starts that it did answer. Later starts met a dead server.
void assignSuspicion(std::vector<ExposedRun>& runs)
{
    if (std::ranges::any_of(runs, &ExposedRun::adopted)) { // start times are not known
        if (runs.size() == 1)
            runs.front().suspicion = suspicionOfSuspect;
        return;
    }
    SteadyTime newestAnswered = SteadyTime::min();
    SteadyTime firstUnanswered = SteadyTime::max();
    for (const ExposedRun& run : runs) {
        if (run.confirmed)
            newestAnswered = std::max(newestAnswered, run.orderedAt);
        else
            firstUnanswered = std::min(firstUnanswered, run.orderedAt);
    }
    std::vector<ExposedRun*> suspects;
    for (ExposedRun& run : runs) {
        if (run.confirmed && run.orderedAt + simultaneousStarts >= newestAnswered && run.age < startCrashPeriod
            && (firstUnanswered == SteadyTime::max() || run.orderedAt + startCrashPeriod > firstUnanswered))
            suspects.push_back(&run);
    }
    const bool anyAnswered = !suspects.empty();
    for (ExposedRun* run : suspects)
        run->suspicion = suspicionOfSuspect;
    for (ExposedRun& run : runs) {
        if (run.confirmed || run.orderedAt > firstUnanswered + simultaneousStarts)
            continue;
        run.suspicion = anyAnswered ? suspicionOfUnanswered : suspicionOfSuspect;
        suspects.push_back(&run);
    }
    if (suspects.size() == 1 && suspects.front()->age < immediateCrashPeriod)
        suspects.front()->suspicion = suspicionOfOnlySuspect;
}

/// True when the run had begun on its server, or no answer of the server after the start shows that it had not.
bool wasOnServer(const Run& run) { return run.activeSince.has_value() || run.listed || !run.omitted; }

} // namespace

void CrashController::begin()
{
    this->restartsByServer.clear();
    this->restarts.clear();
    this->lost.clear();
    for (const auto& [id, job] : this->board.jobs) {
        for (const auto& [index, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<Task>& tasks = occurrence.steps[step].tasks;
                for (std::size_t position = 0; position < tasks.size(); ++position) {
                    for (const LostRun& run : tasks[position].lostRuns)
                        this->lost[run.server].insert(
                            { id, index, static_cast<int>(step), static_cast<int>(position) });
                }
            }
        }
    }
}

std::vector<ExposedRun> CrashController::exposedRuns(
    const BackendServer& server, std::int64_t incarnation, SteadyTime lastAnswer) const
{
    std::vector<ExposedRun> exposed;
    for (const auto& [name, need] : server.occupants) {
        const Task* task = this->board.findTask(name);
        // Without a start order to this life of the server the crash was under no run.
        if (!task || !task->run || task->run->server != server.address.id || !task->run->firstSentAt
            || task->run->incarnation == incarnation)
            continue;
        const Run& run = *task->run;
        const auto age = std::max(SteadyTime::duration::zero(), lastAnswer - run.orderedAt);
        exposed.push_back({ .name = name,
            .attempt = run.attempt,
            .incarnation = run.incarnation,
            .orderedAt = run.orderedAt,
            .confirmed = run.activeSince.has_value(),
            .adopted = run.adopted,
            .wasThere = wasOnServer(run),
            .age = std::chrono::duration_cast<Duration>(age) });
    }
    assignSuspicion(exposed);
    return exposed;
}

void CrashController::rememberLost(const BackendServer& server, SteadyTime now)
{
    constexpr std::int64_t none = 0;
    for (const ExposedRun& run : this->exposedRuns(server, none, server.clockReadAt)) {
        Task& task = *this->board.findTask(run.name);
        if (run.age >= provenRunTime)
            clearCrashes(task);
        task.lostRuns.push_back({ .server = server.address.id,
            .incarnation = run.incarnation,
            .suspicion = run.suspicion,
            .wasThere = run.wasThere });
        this->lost[server.address.id].insert(run.name);
        this->tracker.markDirty(run.name);
        const auto possible = static_cast<std::size_t>(
            std::ranges::count_if(task.lostRuns, [](const LostRun& lostRun) { return lostRun.suspicion > 0; }));
        if (static_cast<std::size_t>(task.crashes) + possible >= maximumPossibleCrashes)
            this->hold(run.name, verdictWait, "servers that may have crashed under it have not answered", now);
    }
}

void CrashController::hold(const TaskName& name, Duration time, const char* reason, SteadyTime now)
{
    this->board.findTask(name)->heldUntil = now + time;
    this->effects.log(
        Event::TaskHeld, { { "task", formatTaskName(name) }, { "boundMs", time.count() }, { "reason", reason } });
}

void CrashController::judgeLost(const BackendServer& server, std::int64_t incarnation, SteadyTime now)
{
    const auto waiting = this->lost.extract(server.address.id);
    if (waiting.empty())
        return;
    std::vector<ExposedRun> crashed;
    for (const TaskName& name : waiting.mapped()) {
        Task* task = this->board.findTask(name);
        if (!task)
            continue; // its job was removed
        std::erase_if(task->lostRuns, [&](const LostRun& run) {
            if (run.server != server.address.id)
                return false;
            if (run.incarnation != incarnation)
                crashed.push_back({ .name = name,
                    .attempt = task->attempts,
                    .incarnation = run.incarnation,
                    .wasThere = run.wasThere,
                    .suspicion = run.suspicion });
            return true;
        });
        this->tracker.markDirty(name);
        task->heldUntil = now;
    }
    if (!crashed.empty())
        this->handleRestart(server, crashed, now);
}

void CrashController::forgetJob(const Job& job)
{
    for (const auto& [index, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task>& tasks = occurrence.steps[step].tasks;
            for (std::size_t position = 0; position < tasks.size(); ++position) {
                for (const LostRun& run : tasks[position].lostRuns) {
                    const auto found = this->lost.find(run.server);
                    if (found == this->lost.end())
                        continue;
                    found->second.erase({ job.record.id, index, static_cast<int>(step), static_cast<int>(position) });
                    if (found->second.empty())
                        this->lost.erase(found);
                }
            }
        }
    }
}

void CrashController::addRestart(Restart restart)
{
    while (!this->restarts.empty() && restart.at - this->restarts.front().at > unreliablePeriod) {
        const auto oldest = this->restartsByServer.find(this->restarts.front().server);
        oldest->second.pop_front();
        if (oldest->second.empty())
            this->restartsByServer.erase(oldest);
        this->restarts.pop_front();
    }
    this->restarts.push_back(std::move(restart));
    this->restartsByServer[this->restarts.back().server].push_back(&this->restarts.back());
}

void CrashController::handleRestart(const BackendServer& server, const std::vector<ExposedRun>& runs, SteadyTime now)
{
    Restart restart { .server = server.address.id, .at = now };
    for (const ExposedRun& run : runs)
        restart.jobs.insert(run.name.jobId);
    for (const ExposedRun& run : runs)
        this->countCrash(server, run, restart, now);
    this->addRestart(std::move(restart));
    this->clearMassRestarts();
    this->separateSuspects(runs, now);
}

void CrashController::clearMassRestarts()
{
    const SteadyTime newest = this->restarts.back().at;
    const auto isRecent = [&](const Restart& restart) { return newest - restart.at <= massRestartPeriod; };
    const auto recent = std::ranges::find_if(this->restarts, isRecent);
    if (static_cast<std::size_t>(this->restarts.end() - recent) < this->massRestartLimit())
        return;
    std::map<std::string, bool> isMass; // by job
    for (auto restart = recent; restart != this->restarts.end(); ++restart) {
        std::erase_if(restart->counted, [&](const CountedCrash& counted) {
            const auto [job, isNew] = isMass.try_emplace(counted.name.jobId, false);
            if (isNew)
                job->second = this->isMassRestart(counted.name.jobId);
            if (!job->second)
                return false;
            if (Task* task = this->board.findTask(counted.name)) {
                task->crashes = std::max(0, task->crashes - counted.crashes);
                task->provenCrashes = std::max(0, task->provenCrashes - counted.provenCrashes);
                task->suspicion = std::max(0, task->suspicion - counted.suspicion);
                this->tracker.markDirty(counted.name);
            }
            return true;
        });
    }
}

std::size_t CrashController::massRestartLimit() const
{
    return std::max(massRestartServers, this->board.servers.size() * massRestartPercent / 100);
}

bool CrashController::isMassRestart(const std::string& jobId) const
{
    const std::size_t limit = this->massRestartLimit();
    std::set<std::string_view> others;
    for (auto restart = this->restarts.rbegin(); restart != this->restarts.rend(); ++restart) {
        if (this->restarts.back().at - restart->at > massRestartPeriod || others.size() >= limit)
            break;
        if (!restart->jobs.contains(jobId))
            others.insert(restart->server);
    }
    return others.size() >= limit;
}

bool CrashController::isUnreliable(const std::string& server, const std::string& jobId) const
{
    const auto found = this->restartsByServer.find(server);
    return found != this->restartsByServer.end()
        && std::ranges::any_of(found->second, [&](const Restart* restart) { return !restart->jobs.contains(jobId); });
}

CrashController::Verdict CrashController::verdictOn(const BackendServer& server, const ExposedRun& run) const
{
    if (run.suspicion == 0)
        return Verdict::Neighbour;
    if (this->isMassRestart(run.name.jobId))
        return Verdict::MassRestart;
    return this->isUnreliable(server.address.id, run.name.jobId) ? Verdict::UnreliableServer : Verdict::Suspect;
}

const char* CrashController::verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Suspect:
        return "suspect";
    case Verdict::Neighbour:
        return "neighbour";
    case Verdict::MassRestart:
        return "many servers restarted";
    case Verdict::UnreliableServer:
        return "server crashes under other jobs";
    }
    return "unknown";
}

void CrashController::countCrash(const BackendServer& server, const ExposedRun& run, Restart& restart, SteadyTime now)
{
    Task* task = this->board.findTask(run.name);
    if (!task)
        return;
    Job& job = this->board.jobs.at(run.name.jobId);
    if (job.ended())
        return;
    if (run.age >= provenRunTime)
        clearCrashes(*task);
    const Verdict verdict = this->verdictOn(server, run);
    const bool longRunning = this->board.stepOf(run.name).longRunning;
    const int proven = run.wasThere ? 1 : 0;
    ++task->crashes;
    task->provenCrashes += proven;
    const int suspicion = verdict == Verdict::Suspect ? run.suspicion : 0;
    task->suspicion += suspicion;
    // A task that lasts meets any number of power losses.
    const int explained = longRunning ? 1 : 0;
    const CountedCrash counted {
        .name = run.name, .crashes = explained, .provenCrashes = explained * proven, .suspicion = suspicion
    };
    if (verdict == Verdict::MassRestart) {
        task->crashes -= counted.crashes;
        task->provenCrashes -= counted.provenCrashes;
    } else {
        restart.counted.push_back(counted);
    }
    this->tracker.markDirty(run.name);
    this->effects.log(Event::ServerCrashedUnderTask,
        { { "task", formatTaskName(run.name) }, { "attempt", run.attempt }, { "server", server.address.id },
            { "incarnation", server.incarnation }, { "ageMs", run.age.count() }, { "verdict", verdictName(verdict) },
            { "wasThere", run.wasThere }, { "crashes", task->crashes }, { "proven", task->provenCrashes },
            { "suspicion", task->suspicion } });
    if (task->provenCrashes >= provenCrashesToGiveUp
        && (task->suspicion >= maximumSuspicion || task->crashes >= maximumCrashes))
        this->tracker.giveUp(job,
            std::to_string(task->crashes) + " backend servers crashed under task " + formatTaskName(run.name), now);
    else if (hasUsedAttempts(job, run.name))
        this->tracker.giveUp(job, exhaustionReason(job, run.name), now);
}

void CrashController::separateSuspects(const std::vector<ExposedRun>& runs, SteadyTime now)
{
    std::map<std::string, std::int64_t> places; // by job
    for (const ExposedRun& run : runs) {
        if (run.suspicion == 0 || !this->board.findTask(run.name) || this->board.jobs.at(run.name.jobId).ended())
            continue;
        const std::int64_t place
            = places.try_emplace(run.name.jobId, static_cast<std::int64_t>(places.size())).first->second;
        if (place > 0)
            this->hold(run.name, suspectInterval * std::min(place, maximumSuspectPlace),
                "others are suspects of the same crash", now);
    }
}

} // namespace WisteriaHill::Scheduling
