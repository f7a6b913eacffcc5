/// HTTP requests and responses.
#pragma once

#include "utils/steadytime.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace WisteriaHill::Adapters {

using Utils::Duration;

/// Header values by name; names are in lower case and without the colon.
using HttpHeaders = std::map<std::string, std::string>;

inline constexpr const char* jsonContentType = "application/json";

/// A request that a server received.
struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    HttpHeaders headers; ///< the headers that the server reads; the value is empty when a header was not sent
    std::string body;

    /// The header's value, or an empty string.
    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/// A complete response.
struct HttpResponse {
    int status = 200;
    std::string contentType = jsonContentType;
    HttpHeaders headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/// Names of the scheduler's own headers and of the standard headers that it reads or writes.
namespace HeaderName {
inline constexpr const char* authorization = "authorization";
inline constexpr const char* contentType = "content-type";
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

/// Returns the credential of a request with `Authorization: Bearer`, or an empty string.
inline std::string bearerCredential(const HttpRequest& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = request.header(HeaderName::authorization);
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string();
}

/// Returns the value of a Retry-After header: whole seconds, rounded up.
inline std::string retryAfterSeconds(Duration wait)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace WisteriaHill::Adapters
