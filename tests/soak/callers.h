/// Callers of a soak: they submit jobs, ask for their states and cancel some, on connections that they keep.
#pragma once

#include "soak/fleet.h"
#include "soak/httpconnection.h"

#include <memory>
#include <random>

namespace WisteriaHill::Soak {

/// Thread safety: none; all on the context's thread.
class Callers {
public:
    Callers(boost::asio::io_context& context, Fleet& fleet, History& history, std::uint64_t seed);

    /// Begins to submit jobs; returns at once.
    void start();

    /// Submits no new jobs; those that were begun are followed to their ends.
    void stopSubmitting() { this->submitting = false; }

    /// Jobs that are not over for their callers.
    int openJobs() const { return this->open; }

private:
    struct Caller;

    boost::asio::awaitable<void> submitJobs();
    boost::asio::awaitable<void> followJob(std::shared_ptr<Caller> caller);
    boost::asio::awaitable<bool> submit(std::shared_ptr<Caller> caller);
    boost::asio::awaitable<Call> call(std::shared_ptr<Caller> caller, CallKind kind);
    boost::asio::awaitable<void> wait(Moment milliseconds);
    std::vector<PlannedStep> randomSteps();
    int random(int lowest, int highest);

    boost::asio::io_context& context;
    Fleet& fleet;
    History& history;
    std::mt19937_64 engine;
    bool submitting = true;
    int open = 0;
};

} // namespace WisteriaHill::Soak
