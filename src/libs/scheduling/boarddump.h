/// The scheduler's knowledge as JSON, for operators.
#pragma once

#include "scheduling/scheduler.h"
#include "utils/checkedjson.h"

namespace WisteriaHill::Scheduling {

/// Leadership, servers and jobs in short.
Utils::Json dumpScheduler(const Scheduler& scheduler, SteadyTime now);

/// One job with its tasks, and for each waiting step what it waits for; null when the job is not known here.
Utils::Json explainJob(const Scheduler& scheduler, const std::string& jobId, SteadyTime now);

} // namespace WisteriaHill::Scheduling
