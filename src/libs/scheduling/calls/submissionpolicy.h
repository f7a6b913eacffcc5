/// Decides how a submission reaches the state store, and which answer is true when it does not.
#pragma once

#include "scheduling/calls/storeevidence.h"

namespace WisteriaHill::Scheduling::Calls {

/// What has happened to one submission so far.
struct SubmissionHistory {
    int refusals = 0; ///< commits and reads after which the store has surely stored nothing
    int unanswered = 0; ///< commits that had no answer; each may have been carried out, or may still be
    bool asked = false; ///< the store has answered a read of the job's row since the last failure
};

enum class SubmissionStep {
    Ask, ///< read the job's row first: a read without an answer leaves no doubt
    Store, ///< commit the job's row
    Wait, ///< decide again after SubmissionDecision::pause
    Refuse, ///< the job is not stored and will not be
    LeaveOpen, ///< the job may be stored; only a further request under its id can tell
};

struct SubmissionDecision {
    SubmissionStep step = SubmissionStep::Refuse;
    Duration pause { 0 };
};

/// `left` is the time until the client must have an answer; `waited` is true when the pause after the last refusal is
/// over, and `stopping` when this daemon no longer begins calls. Serves the load of an outage: a commit that is sent to
/// a store that does not answer costs its client the right to try again, a read does not. Any thread.
SubmissionDecision nextStep(
    const SubmissionHistory& history, const StoreEvidence& evidence, Duration left, bool waited, bool stopping);

/// The pause before a call to the store that follows so many failed ones. Any thread.
Duration pauseAfter(int failures);

} // namespace WisteriaHill::Scheduling::Calls
