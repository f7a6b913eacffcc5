#include "controllers/documentanswers.h"

namespace WisteriaHill::Controllers {

void answerWithDocument(
    Outbox& outbox, CallerId caller, int status, Utils::Json document, std::optional<Duration> retryAfter)
{
    outbox.add(AnswerDocument {
        .caller = caller, .status = status, .document = std::move(document), .retryAfter = retryAfter });
}

void answerWithRefusal(
    Outbox& outbox, CallerId caller, int status, const std::string& reason, std::optional<Duration> retryAfter)
{
    answerWithDocument(outbox, caller, status, { { "outcome", "notRun" }, { "reason", reason } }, retryAfter);
}

Utils::Json publicJob(const Model::JobRecord& job)
{
    return { { "id", job.id }, { "zone", job.zone }, { "state", Model::jobStateName(job.state) },
        { "attempt", job.attempt }, { "placement", job.placement }, { "reason", job.reason }, { "owner", job.owner },
        { "checkpointedMs", job.checkpointed.count() } };
}

} // namespace WisteriaHill::Controllers
