/// Requests of callers and the answers to them.
#pragma once

#include "model/ids.h"
#include "utils/steadytime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace WisteriaHill::Model {

using Utils::Duration;

/// Identifies a caller that waits for an answer; unique within one daemon.
using CallerId = std::uint64_t;

/// The outcome of a request, as far as the entry host knows it.
enum class Outcome {
    Completed, ///< a backend server ran the request and its whole answer arrived
    NotRun, ///< the request was provably not run
    Unknown, ///< the request may have run
};

std::string_view outcomeName(Outcome outcome);

/// A request to a service as the caller sent it.
struct CallerRequest {
    ClientAccountId account;
    ServiceId service;
    std::string body;
    std::string idempotencyKey; ///< required for a service that is not idempotent
    std::optional<Duration> timeout; ///< the service's timeout applies when this is empty
};

/// The final answer to a caller.
struct CallerAnswer {
    int status = 200;
    Outcome outcome = Outcome::Completed;
    std::string body; ///< body of the backend server's answer; empty unless the request completed
    std::string contentType = "application/octet-stream";
    std::string reason; ///< why the request did not complete; empty when it completed
    std::optional<Duration> retryAfter;
    bool replayed = false; ///< this is the stored answer to an earlier request with the same idempotency key
};

/// A request as it is sent to one backend server.
struct RunRequest {
    ServiceId service;
    ClientAccountId account;
    std::uint64_t requestId = 0;
    std::string body;
    std::size_t maximumAnswer = 0; ///< largest accepted answer body, in bytes
};

/// The complete answer of a backend server.
struct RunAnswer {
    int status = 200;
    std::string body;
    std::string contentType;
    std::optional<std::uint32_t> busySlots; ///< empty when the server did not report the number
    bool leaving = false; ///< the server reports that it is leaving
};

/// Why there is no complete answer of a backend server.
enum class BackendError {
    NotSent, ///< no byte of the request reached the server
    Busy, ///< the server refused the request before it ran, because the server is busy
    Leaving, ///< the server refused the request before it ran, because the server is leaving
    Failed, ///< the server answered with an error
    Truncated, ///< the connection ended before or within the answer
    Oversized, ///< the answer was larger than allowed
    TimedOut, ///< no complete answer arrived in time
    Malformed, ///< the answer could not be parsed
};

std::string_view backendErrorName(BackendError error);

/// True when the backend server provably did not run the request.
constexpr bool provablyNotRun(BackendError error)
{
    return error == BackendError::NotSent || error == BackendError::Busy || error == BackendError::Leaving;
}

} // namespace WisteriaHill::Model
