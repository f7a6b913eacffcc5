/// Answers queries and orders that concern the scheduler itself.
#pragma once

#include "controllers/outbox.h"
#include "model/job.h"

#include <optional>
#include <string>

namespace WisteriaHill::Controllers {

void answerWithDocument(
    Outbox& outbox, CallerId caller, int status, Utils::Json document, std::optional<Duration> retryAfter = {});

/// Answers that nothing was run, with the reason.
void answerWithRefusal(
    Outbox& outbox, CallerId caller, int status, const std::string& reason, std::optional<Duration> retryAfter = {});

/// The job as its client account may see it.
Utils::Json publicJob(const Model::JobRecord& job);

} // namespace WisteriaHill::Controllers
