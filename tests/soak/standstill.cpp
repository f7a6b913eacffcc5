#include "soak/standstill.h"

#include <algorithm>
#include <set>

namespace WisteriaHill::Soak {

namespace {

constexpr Duration finishTime { 14'000 }; ///< after the end of the traffic, until standstills are judged
constexpr Duration standstillBound { 3000 };
constexpr Duration lastingRestart { 3000 }; ///< after the last run of a task that lasts, until the bound counts
constexpr Duration sampleInterval { 50 };

class StandstillCheck {
public:
    explicit StandstillCheck(const History& history)
        : history(history)
    {
        for (const Run& run : history.runs)
            this->runsByTask[run.task].push_back(&run);
    }

    Standstills judge()
    {
        for (const auto& [id, job] : this->history.jobs)
            this->findOpenTime(id, job);
        for (Moment moment = this->history.trafficEnded + finishTime; moment <= this->history.finished;
             moment += sampleInterval)
            this->sample(moment);
        while (!this->standing.empty())
            this->endStretch(std::string(this->standing.begin()->first));
        return this->result;
    }

private:
    struct OpenTime {
        std::optional<Moment> accepted;
        Moment over; ///< cancelled, or shown in its last state
    };

    struct Stretch {
        Moment from;
        Moment until;
        std::string task; ///< could run in all of the time
    };

    struct Use {
        int cores = 0;
        int accelerators = 0;
    };

    void findOpenTime(const std::string& id, const JobHistory& job)
    {
        OpenTime open { .accepted = {}, .over = this->history.finished };
        for (const Call& call : job.calls) {
            if (call.kind == CallKind::Submit && isSuccess(call.status))
                open.accepted = std::min(open.accepted.value_or(call.ended), call.ended);
            if (call.kind == CallKind::Cancel)
                open.over = std::min(open.over, call.sent);
            if (call.kind == CallKind::State && isFinal(call.state))
                open.over = std::min(open.over, call.ended);
        }
        this->openTimes[id] = open;
    }

    void sample(Moment moment)
    {
        this->measureUse(moment);
        for (const auto& [id, job] : this->history.jobs) {
            const OpenTime& open = this->openTimes.at(id);
            const bool isOpen = open.accepted && *open.accepted <= moment && open.over > moment;
            std::string ready; ///< a task that could run
            bool running = false;
            for (std::size_t step = 0; step < job.steps.size(); ++step) {
                const PlannedStep& planned = job.steps[step];
                for (int index = 0; index < planned.tasks; ++index) {
                    const std::string task = taskName(id, step, index);
                    if (planned.lasts) {
                        this->note(
                            task, task, isOpen && this->isMissing(task, moment) && this->hasRoomTwice(planned), moment);
                        continue;
                    }
                    running = running || this->isRunning(task, moment);
                    if (isOpen && ready.empty() && this->isTurn(id, job, step, moment) && !this->isDone(task, moment)
                        && this->hasRoomTwice(planned))
                        ready = task;
                }
            }
            this->note(id, ready, !running && !ready.empty() && this->isUnderHalfUsed(), moment);
        }
    }

    void measureUse(Moment moment)
    {
        this->used = {};
        this->usedByServer.clear();
        for (const Run& run : this->history.runs) {
            const auto job = this->history.jobs.find(jobOf(run.task));
            if (run.started > moment || this->endOf(run) <= moment || job == this->history.jobs.end())
                continue;
            for (Use* use : { &this->used, &this->usedByServer[run.server] }) {
                ++use->cores;
                use->accelerators += job->second.steps.at(stepOf(run.task)).accelerators;
            }
        }
    }

    bool isUnderHalfUsed() const
    {
        return 2 * this->used.cores < this->history.servers * coresPerServer
            && 2 * this->used.accelerators < this->history.servers * acceleratorsPerServer;
    }

    bool hasRoomTwice(const PlannedStep& step) const
    {
        const auto fitting = [&](const Use& use) {
            const int cores = coresPerServer - use.cores;
            const int accelerators = acceleratorsPerServer - use.accelerators;
            return step.accelerators == 0 ? cores : std::min(cores, accelerators / step.accelerators);
        };
        int room = (this->history.servers - static_cast<int>(this->usedByServer.size())) * fitting({});
        for (const auto& [server, use] : this->usedByServer)
            room += fitting(use);
        return room >= 2 * (step.gang ? step.tasks : 1);
    }

    Moment endOf(const Run& run) const { return run.ended.value_or(this->history.finished); }

    /// True when a run was under way since the last sample.
    bool isRunning(const std::string& task, Moment moment) const
    {
        const auto runs = this->runsByTask.find(task);
        return runs != this->runsByTask.end() && std::ranges::any_of(runs->second, [&](const Run* run) {
            return run->started <= moment && this->endOf(*run) > moment - sampleInterval;
        });
    }

    /// True for a task that lasts whose last run ended long enough ago, or that has never run.
    bool isMissing(const std::string& task, Moment moment) const
    {
        const auto runs = this->runsByTask.find(task);
        return runs == this->runsByTask.end() || std::ranges::none_of(runs->second, [&](const Run* run) {
            return run->started <= moment && this->endOf(*run) > moment - lastingRestart;
        });
    }

    bool isDone(const std::string& task, Moment moment) const
    {
        const auto runs = this->runsByTask.find(task);
        return runs != this->runsByTask.end() && std::ranges::any_of(runs->second, [&](const Run* run) {
            return run->outcome == "done" && this->endOf(*run) <= moment;
        });
    }

    /// The end of one member of a gang counts for all of its members.
    bool isStepDone(const std::string& id, const JobHistory& job, std::size_t step, Moment moment) const
    {
        int done = 0;
        for (int index = 0; index < job.steps.at(step).tasks; ++index)
            done += this->isDone(taskName(id, step, index), moment) ? 1 : 0;
        return done >= (job.steps.at(step).gang ? 1 : job.steps.at(step).tasks);
    }

    bool isTurn(const std::string& id, const JobHistory& job, std::size_t step, Moment moment) const
    {
        const bool comesFirst = step == 0 || !job.steps.at(step).afterPrevious;
        return (comesFirst || this->isStepDone(id, job, step - 1, moment)) && !this->isStepDone(id, job, step, moment);
    }

    void note(const std::string& name, const std::string& task, bool stands, Moment moment)
    {
        if (stands)
            this->standing.try_emplace(name, Stretch { .from = moment, .until = moment, .task = task })
                .first->second.until
                = moment;
        else if (this->standing.contains(name))
            this->endStretch(name);
    }

    void endStretch(const std::string& name)
    {
        const Stretch stretch = this->standing.at(name);
        this->standing.erase(name);
        const Duration length = stretch.until - stretch.from;
        this->result.longest = std::max(this->result.longest, length);
        if (length < standstillBound)
            return;
        const auto text = [](Moment moment) { return std::to_string(moment.time_since_epoch().count()); };
        this->result.findings.push_back(name + ": stands still from " + text(stretch.from) + " to "
            + text(stretch.until) + ", task " + stretch.task + " could run");
    }

    const History& history;
    std::map<std::string, std::vector<const Run*>> runsByTask;
    std::map<std::string, OpenTime> openTimes;
    Use used;
    std::map<std::string, Use> usedByServer;
    std::map<std::string, Stretch> standing; ///< by job, or task that lasts
    Standstills result;
};

} // namespace

Standstills findStandstills(const History& history) { return StandstillCheck(history).judge(); }

} // namespace WisteriaHill::Soak
