/// Answers to callers whose question is about the scheduler itself.
#pragma once

#include "controllers/outbox.h"
#include "model/job.h"

#include <optional>
#include <string>

namespace WisteriaHill::Controllers {

/// Answers with a document.
void answerWithDocument(
    Outbox& outbox, CallerId caller, int status, Utils::Json document, std::optional<Duration> retryAfter = {});

/// Answers that nothing was run, and why.
void answerWithRefusal(
    Outbox& outbox, CallerId caller, int status, const std::string& reason, std::optional<Duration> retryAfter = {});

/// What a client account may know of its job.
Utils::Json publicJob(const Model::JobRecord& job);

} // namespace WisteriaHill::Controllers
