/// HTTP requests and responses as values.
#pragma once

#include "utils/steadytime.h"

#include <cstdint>
#include <map>
#include <string>

namespace WisteriaHill::Adapters {

using Utils::Duration;

/// Header names in lower case without the colon.
using HttpHeaders = std::map<std::string, std::string>;

/// A request as a server got it.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    HttpHeaders headers; ///< the known ones that were sent
    std::string body;

    /// The header's value, or an empty string.
    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/// A whole response.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    HttpHeaders headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/// Names of the product's own headers and of the others that are read.
namespace HeaderName {
inline constexpr const char* authorization = "authorization";
inline constexpr const char* host = "host";
inline constexpr const char* idempotencyKey = "idempotency-key";
inline constexpr const char* ifMatch = "if-match";
inline constexpr const char* retryAfter = "retry-after";
inline constexpr const char* entityTag = "etag";
inline constexpr const char* changeId = "wisteriahill-change-id";
inline constexpr const char* deadline = "wisteriahill-deadline";
inline constexpr const char* outcome = "wisteriahill-outcome";
inline constexpr const char* reason = "wisteriahill-reason";
inline constexpr const char* retryAfterMs = "wisteriahill-retry-after-ms";
inline constexpr const char* replayed = "wisteriahill-replayed";
inline constexpr const char* account = "wisteriahill-account";
inline constexpr const char* requestId = "wisteriahill-request-id";
inline constexpr const char* notRun = "wisteriahill-not-run";
inline constexpr const char* busySlots = "wisteriahill-busy-slots";
inline constexpr const char* leaving = "wisteriahill-leaving";
} // namespace HeaderName

} // namespace WisteriaHill::Adapters
