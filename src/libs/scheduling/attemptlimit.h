/// Tasks that have failed as often as their queue allows, or have used their starts after crashes of servers.
#pragma once

#include "scheduling/board.h"

#include <optional>
#include <string>

namespace WisteriaHill::Scheduling {

/// A run that lasted for this long clears its task of crashes.
constexpr Duration provenRunTime { 60'000 };

/// True when the task must not be started again. Either it, or the gang that it belongs to, has failed as often as the
/// job's queue in force allows, which never holds for tasks that last and for a job without a queue. Or two of its runs
/// have ended in any way but as done after three servers had crashed under it, two of them as is proven: whether it
/// crashes all servers cannot be known from runs that ended before. Precondition: `task` names a task of `job`.
bool hasUsedAttempts(const Job& job, const TaskName& task);

/// A task is not given up for crashes before so many servers are proven to have crashed under it.
constexpr int provenCrashesToGiveUp = 2;

/// Counts the run of a task, which is over and not done, if servers had crashed under the task before. Call it before
/// the run is removed, and not for a run whose start no server has carried out. Precondition: the task has a run.
void countRunAfterCrashes(Task& task);

/// Forgets the crashes of servers under a task.
void clearCrashes(Task& task);

/// A task of the job that waits and must not be started again; std::nullopt when there is none.
std::optional<TaskName> findExhaustedTask(const Job& job);

/// Why a job ends with such a task.
std::string exhaustionReason(const Job& job, const TaskName& task);

} // namespace WisteriaHill::Scheduling
