/// Callers' requests and the answers they get.
#pragma once

#include "model/ids.h"
#include "utils/steadytime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace WisteriaHill::Model {

using Utils::Duration;

/// Names one caller that waits for an answer, within one daemon.
using CallerId = std::uint64_t;

/// What became of a request.
enum class Outcome {
    Completed, ///< a backend server ran it and this is its whole answer
    NotRun, ///< provably not run
    Unknown, ///< it may have run
};

std::string_view outcomeName(Outcome outcome);

/// A request to a service as the caller sent it.
struct CallerRequest {
    ClientAccountId account;
    ServiceId service;
    std::string body;
    std::string idempotencyKey; ///< required where the service is not idempotent
    std::optional<Duration> timeout; ///< the service's own when empty
};

/// The final answer to a caller.
struct CallerAnswer {
    int status = 200;
    Outcome outcome = Outcome::Completed;
    std::string body; ///< the backend server's own when completed, else empty
    std::string contentType = "application/octet-stream";
    std::string reason; ///< why it was not completed; empty when it was
    std::optional<Duration> retryAfter;
    bool replayed = false; ///< the stored answer of an earlier request with the same key
};

/// A request on its way to one backend server.
struct RunRequest {
    ServiceId service;
    ClientAccountId account;
    std::uint64_t requestId = 0;
    std::string body;
    std::size_t maximumAnswer = 0; ///< bytes
};

/// A whole answer of a backend server.
struct RunAnswer {
    int status = 200;
    std::string body;
    std::string contentType;
    std::optional<std::uint32_t> busySlots;
    bool leaving = false;
};

/// Why a backend server gave no whole answer.
enum class BackendError {
    NotSent, ///< no byte reached it
    Busy, ///< it refused before running
    Leaving, ///< it refused before running
    Failed, ///< it answered with an error of its own
    Truncated, ///< the connection ended inside the answer, or before it
    Oversized, ///< the answer was larger than allowed
    TimedOut, ///< no whole answer in time
    Malformed, ///< the answer could not be read
};

std::string_view backendErrorName(BackendError error);

/// True when the backend server provably did nothing.
constexpr bool provablyNotRun(BackendError error)
{
    return error == BackendError::NotSent || error == BackendError::Busy || error == BackendError::Leaving;
}

} // namespace WisteriaHill::Model
