/// The HTTP status codes that the scheduler uses.
#pragma once

namespace WisteriaHill::Utils::HttpStatus {

inline constexpr int ok = 200;
inline constexpr int accepted = 202;
inline constexpr int badRequest = 400;
inline constexpr int unauthorised = 401;
inline constexpr int forbidden = 403;
inline constexpr int notFound = 404;
inline constexpr int methodNotAllowed = 405;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int lengthRequired = 411;
inline constexpr int preconditionFailed = 412;
inline constexpr int payloadTooLarge = 413;
inline constexpr int misdirected = 421;
inline constexpr int unprocessable = 422;
inline constexpr int preconditionRequired = 428;
inline constexpr int tooManyRequests = 429;
inline constexpr int internalServerError = 500;
inline constexpr int badGateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gatewayTimeout = 504;

} // namespace WisteriaHill::Utils::HttpStatus
