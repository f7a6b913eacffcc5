/// Tasks that have failed as often as their queue allows.
#pragma once

#include "scheduling/board.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// True when the task, or the gang that it belongs to, has failed as often as the job's queue in force allows. False
/// for tasks that last and for a job without a queue. Precondition: `task` names a task of `job`.
bool hasUsedAttempts(const Job& job, const TaskName& task);

/// A task of the job that waits and must not be started again; std::nullopt when there is none.
std::optional<TaskName> findExhaustedTask(const Job& job);

/// Why a job ends with such a task.
std::string exhaustionReason(const Job& job, const TaskName& task);

} // namespace WisteriaHill::Scheduling
