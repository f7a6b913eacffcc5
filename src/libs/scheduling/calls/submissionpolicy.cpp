#include "scheduling/calls/submissionpolicy.h"

#include <algorithm>

namespace WisteriaHill::Scheduling::Calls {

namespace {

constexpr int maximumRefusals = 3; ///< of a submission whose outcome is known
constexpr Duration firstPause { 20 }; ///< a few round trips to the store
constexpr Duration longestPause { 320 };

} // namespace

Duration pauseAfter(int failures)
{
    Duration pause = firstPause;
    for (int count = 1; count < failures && pause < longestPause; ++count)
        pause *= 2;
    return std::min(pause, longestPause);
}

SubmissionDecision nextStep(
    const SubmissionHistory& history, const StoreEvidence& evidence, Duration left, bool waited, bool stopping)
{
    const bool uncertain = history.unanswered > 0;
    const bool over = stopping || evidence.failing || left <= Duration(0);
    if (uncertain && over)
        return { .step = SubmissionStep::LeaveOpen };
    if (!uncertain && (over || history.refusals >= maximumRefusals))
        return { .step = SubmissionStep::Refuse };
    if (const int failures = history.refusals + history.unanswered; failures > 0 && !waited)
        return { .step = SubmissionStep::Wait, .pause = std::min(pauseAfter(failures), left) };
    // A commit after one without an answer adds no doubt, and finds the job if it is stored.
    const bool askFirst = !uncertain && !history.asked && evidence.failures > 0;
    return { .step = askFirst ? SubmissionStep::Ask : SubmissionStep::Store };
}

} // namespace WisteriaHill::Scheduling::Calls
