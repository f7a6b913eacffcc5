/// Simulated clients of a soak: they submit jobs, poll their states and cancel some, over persistent connections.
#pragma once

#include "soak/fleet.h"
#include "soak/httpconnection.h"
#include "soak/seededrandom.h"

#include <boost/asio/spawn.hpp>
#include <memory>

namespace WisteriaHill::Soak {

/// Factors of the load.
struct LoadScale {
    int work = 1; ///< of the run times of tasks
    int pause = 1; ///< of the pauses between jobs
    int lastingJobs = 0; ///< so many of the first jobs have tasks that last
};

/// Thread safety: none; all on the context's thread.
class Callers {
public:
    Callers(boost::asio::io_context& context, Fleet& fleet, History& history, std::uint64_t seed, LoadScale scale);

    /// Starts to submit jobs; returns at once.
    void start();

    /// Submits no new jobs; the callers follow those that were begun to their ends.
    void stopSubmitting() { this->submitting = false; }

    /// Cancels the jobs with tasks that last.
    void cancelLastingJobs() { this->lastingCancelled = true; }

    /// Jobs that their callers still follow.
    int openJobs() const { return this->openCount; }

private:
    struct Caller;

    void submitJobs(const boost::asio::yield_context& yield);
    void followJob(const std::shared_ptr<Caller>& caller, const boost::asio::yield_context& yield);
    bool submit(const std::shared_ptr<Caller>& caller, const boost::asio::yield_context& yield);
    Call call(const std::shared_ptr<Caller>& caller, CallKind kind, const boost::asio::yield_context& yield);
    std::vector<PlannedStep> randomSteps();

    boost::asio::io_context& context;
    Fleet& fleet;
    History& history;
    SeededRandom random;
    LoadScale scale;
    bool submitting = true;
    bool lastingCancelled = false;
    int openCount = 0;
};

} // namespace WisteriaHill::Soak
