/// The scheduler's state as JSON, for operators.
#pragma once

#include "scheduling/scheduler.h"
#include "utils/checkedjson.h"

namespace WisteriaHill::Scheduling {

/// A summary of the leadership, the servers and the jobs.
Utils::Json dumpScheduler(const Scheduler& scheduler, SteadyTime now);

/// One job with its tasks, and for each waiting step what it waits for; null when the scheduler does not know the job.
Utils::Json explainJob(const Scheduler& scheduler, const std::string& jobId, SteadyTime now);

} // namespace WisteriaHill::Scheduling
