#include "soak/history.h"

#include "soak/standstill.h"
#include "utils/httpstatus.h"

#include <algorithm>
#include <map>
#include <set>

namespace WisteriaHill::Soak {

namespace {

namespace HttpStatus = Utils::HttpStatus;

constexpr Duration visibilityBound { 3000 }; ///< from the acceptance of a job until every daemon must know it
/// From the answer to a cancel, or from the end of all faults if that is later, until no task of the job may start or
/// run.
constexpr Duration cancelBound { 3000 };
constexpr Duration stopBound { 6000 }; ///< that a graceful stop may take
constexpr Duration connectionLoss { 200 }; ///< a call that breaks sooner was sent on a connection that was closing
constexpr std::size_t maximumAttempts = 3; ///< in the stand-in's configuration
constexpr int crashesBeforeGivingUp = 2; ///< a task under which so many servers crashed may be given up

/// True when the answer proves that the job was not accepted.
bool isRefusal(int status)
{
    return status >= HttpStatus::badRequest && status != HttpStatus::badGateway && status != HttpStatus::gatewayTimeout;
}

std::string text(Moment moment) { return std::to_string(moment.time_since_epoch().count()); }

} // namespace

std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

std::size_t stepOf(const std::string& task)
{
    const std::size_t afterJob = task.find('.') + 1;
    return std::stoul(task.substr(task.find('.', afterJob) + 1));
}

std::string taskName(const std::string& job, std::size_t step, int index)
{
    return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

bool isFinal(const std::string& state) { return state == "completed" || state == "failed" || state == "cancelled"; }

namespace {

/// Checks one history; each check appends its findings.
class HistoryCheck {
public:
    explicit HistoryCheck(const History& history)
        : history(history)
    {
        for (const Run& run : history.runs)
            this->runsByTask[run.task].push_back(&run);
        for (auto& [task, runs] : this->runsByTask)
            std::ranges::sort(runs, {}, [](const Run* run) { return run->started; });
    }

    std::vector<std::string> findings()
    {
        for (const auto& [task, runs] : this->runsByTask)
            this->checkRuns(task, runs);
        for (const auto& [id, job] : this->history.jobs)
            this->checkJob(id, job);
        for (const PlannedStop& stop : this->history.stops)
            this->checkStop(stop);
        for (const std::string& end : this->history.unexpectedEnds)
            this->found.push_back("a process ended by itself: " + end);
        for (const std::string& standstill : findStandstills(this->history).findings)
            this->found.push_back(standstill);
        return this->found;
    }

private:
    Moment endOf(const Run& run) const { return run.ended.value_or(this->history.finished); }

    void checkRuns(const std::string& task, const std::vector<const Run*>& runs)
    {
        const auto job = this->history.jobs.find(jobOf(task));
        if (job == this->history.jobs.end()) {
            this->found.push_back(task + ": started, and nobody asked for it");
            return;
        }
        for (std::size_t later = 1; later < runs.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier)
                this->checkPair(*runs[earlier], *runs[later]);
        }
        const std::size_t step = stepOf(task);
        if (step == 0 || !job->second.steps.at(step).afterPrevious)
            return;
        for (const Run* run : runs) {
            if (!this->stepDoneBy(job->first, job->second, step - 1, run->started))
                this->found.push_back(task + ": started before the step that it waits for was done");
        }
    }

    void checkPair(const Run& first, const Run& second)
    {
        const std::string both = second.task + ": attempt " + std::to_string(second.attempt) + " on " + second.server
            + " started at " + text(second.started) + ", attempt " + std::to_string(first.attempt) + " on "
            + first.server;
        if (second.started < this->endOf(first))
            this->found.push_back(both + " still ran");
        else if (first.outcome == "done" && first.acknowledged)
            this->found.push_back(both + " was done");
    }

    /// The end of one member of a gang counts for all of its members.
    bool stepDoneBy(const std::string& id, const JobHistory& job, std::size_t step, Moment moment) const
    {
        int done = 0;
        for (int index = 0; index < job.steps.at(step).tasks; ++index) {
            const auto runs = this->runsByTask.find(taskName(id, step, index));
            if (runs != this->runsByTask.end())
                done += std::ranges::any_of(runs->second,
                            [&](const Run* run) {
                                return run->outcome == "done" && run->ended && *run->ended <= moment;
                            })
                    ? 1
                    : 0;
        }
        return job.steps.at(step).gang ? done > 0 : done == job.steps.at(step).tasks;
    }

    /// Failures of several members in one attempt of a gang count once for the gang.
    bool failedOftenEnough(const std::string& id, const JobHistory& job, Moment moment) const
    {
        std::map<std::string, std::set<int>> attempts; // failed ones, by task; by the first task of a gang
        for (const auto& [task, runs] : this->runsByTask) {
            const std::size_t step = stepOf(task);
            if (jobOf(task) != id || job.steps.at(step).lasts)
                continue;
            const bool gang = job.steps.at(step).gang;
            for (const Run* run : runs) {
                if (run->outcome == "failed" && run->ended && *run->ended <= moment)
                    attempts[gang ? taskName(id, step, 0) : task].insert(run->attempt);
            }
        }
        return std::ranges::any_of(attempts, [](const auto& entry) { return entry.second.size() >= maximumAttempts; });
    }

    /// True when enough servers were killed while they ran one of the job's tasks.
    bool lostServersOftenEnough(const std::string& id, Moment moment) const
    {
        return std::ranges::any_of(this->runsByTask, [&](const auto& entry) {
            const auto killed = std::ranges::count_if(entry.second,
                [&](const Run* run) { return run->outcome.empty() && run->ended && *run->ended <= moment; });
            return jobOf(entry.first) == id && killed >= crashesBeforeGivingUp;
        });
    }

    void checkJob(const std::string& id, const JobHistory& job)
    {
        std::optional<Moment> accepted;
        std::optional<Moment> cancelSent;
        std::optional<Moment> cancelAnswered;
        bool allRefused = true;
        std::string finalState;
        for (const Call& call : job.calls) {
            if (call.kind == CallKind::Submit) {
                allRefused = allRefused && isRefusal(call.status);
                if (isSuccess(call.status) && !accepted)
                    accepted = call.ended;
            } else if (call.kind == CallKind::Cancel) {
                cancelSent = std::min(cancelSent.value_or(call.sent), call.sent);
                if (isSuccess(call.status) && !cancelAnswered)
                    cancelAnswered = call.ended;
            }
        }
        for (const Call& call : job.calls) {
            if (call.kind != CallKind::State)
                continue;
            if (call.status == HttpStatus::gone && accepted && call.sent > *accepted + visibilityBound)
                this->found.push_back(id + ": unknown to daemon " + std::to_string(call.daemon)
                    + " although it was accepted at " + text(*accepted));
            if (call.state.empty())
                continue;
            this->checkState(id, job, call, cancelSent);
            if (!finalState.empty() && call.sent > this->finalShown[id] && call.state != finalState)
                this->reportChange(id, finalState, call.state);
            if (isFinal(call.state) && finalState.empty()) {
                finalState = call.state;
                this->finalShown[id] = call.ended;
            }
        }
        this->checkOutcome(id, accepted, allRefused, finalState);
        if (cancelAnswered)
            this->checkCancelled(id, *cancelAnswered);
    }

    void reportChange(const std::string& id, const std::string& from, const std::string& to)
    {
        this->found.push_back(id + ": shown as " + to + " after " + from);
    }

    void checkState(const std::string& id, const JobHistory& job, const Call& call, std::optional<Moment> cancelSent)
    {
        if (call.state == "completed") {
            for (std::size_t step = 0; step < job.steps.size(); ++step) {
                if (!this->stepDoneBy(id, job, step, call.ended))
                    this->found.push_back(
                        id + ": shown as completed before step " + std::to_string(step) + " was done");
            }
        }
        if (call.state == "failed" && !this->failedOftenEnough(id, job, call.ended)
            && !this->lostServersOftenEnough(id, call.ended))
            this->found.push_back(id + ": shown as failed without cause");
        if (call.state == "cancelled" && (!cancelSent || *cancelSent > call.ended))
            this->found.push_back(id + ": shown as cancelled, and nobody cancelled it");
    }

    void checkOutcome(
        const std::string& id, std::optional<Moment> accepted, bool allRefused, const std::string& finalState)
    {
        const bool ran
            = std::ranges::any_of(this->runsByTask, [&](const auto& entry) { return jobOf(entry.first) == id; });
        if (allRefused && ran)
            this->found.push_back(id + ": ran although every attempt to submit it was refused");
        if (accepted && finalState.empty())
            this->found.push_back(id + ": accepted, and not ended when the soak was over");
    }

    void checkCancelled(const std::string& id, Moment answered)
    {
        const Moment bound = std::max(answered, this->history.healed) + cancelBound;
        for (const Run& run : this->history.runs) {
            if (jobOf(run.task) != id)
                continue;
            if (run.started > bound)
                this->found.push_back(run.task + ": started after the job was cancelled");
            if (!run.ended && this->history.finished > bound)
                this->found.push_back(run.task + ": runs on after the job was cancelled");
        }
    }

    void checkStop(const PlannedStop& stop)
    {
        const std::string name = "daemon " + std::to_string(stop.daemon);
        if (stop.status != 0)
            this->found.push_back(name + ": a graceful stop ended with status " + std::to_string(stop.status));
        const Duration taken = stop.exited - std::max(stop.requested, stop.resumed);
        if (taken > stopBound)
            this->found.push_back(name + ": a graceful stop took " + std::to_string(taken.count()) + " ms");
        if (!stop.faultFree)
            return;
        for (const auto& [id, job] : this->history.jobs) {
            for (const Call& call : job.calls) {
                const bool during
                    = call.daemon == stop.daemon && call.sent < stop.exited && call.ended >= stop.requested;
                if (during && call.broken && call.ended - call.sent > connectionLoss)
                    this->reportCutOff(id, name, call.ended - call.sent);
            }
        }
    }

    void reportCutOff(const std::string& id, const std::string& daemon, Duration after)
    {
        this->found.push_back(
            id + ": a graceful stop of " + daemon + " cut off a call after " + std::to_string(after.count()) + " ms");
    }

    const History& history;
    std::map<std::string, std::vector<const Run*>> runsByTask;
    std::map<std::string, Moment> finalShown;
    std::vector<std::string> found;
};

} // namespace

std::vector<std::string> findViolations(const History& history) { return HistoryCheck(history).findings(); }

} // namespace WisteriaHill::Soak
