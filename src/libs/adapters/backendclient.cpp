#include "adapters/backendclient.h"

#include "utils/httpstatus.h"

#include <charconv>

namespace WisteriaHill::Adapters {

namespace {

using Controllers::LeaseBatchResult;
using Controllers::RunResult;
using Model::BackendError;
using Utils::Json;

constexpr int firstServerErrorStatus = 500;

BackendError translate(HttpClientError error)
{
    switch (error) {
    case HttpClientError::NotSent:
        return BackendError::NotSent;
    case HttpClientError::Truncated:
        return BackendError::Truncated;
    case HttpClientError::TimedOut:
        return BackendError::TimedOut;
    case HttpClientError::Oversized:
        return BackendError::Oversized;
    }
    return BackendError::Malformed;
}

RunResult readRunResult(HttpCallResult result)
{
    if (const auto* error = std::get_if<HttpClientError>(&result))
        return translate(*error);
    auto& response = std::get<HttpResponse>(result);
    const std::string notRun = response.header(HeaderName::notRun);
    if (notRun == "leaving")
        return BackendError::Leaving;
    if (!notRun.empty())
        return BackendError::Busy;
    if (response.status >= firstServerErrorStatus)
        return BackendError::Failed;

    Model::RunAnswer answer { .status = response.status,
        .body = std::move(response.body),
        .contentType = response.contentType,
        .leaving = response.header(HeaderName::leaving) == "true" };
    const std::string busySlots = response.header(HeaderName::busySlots);
    std::uint32_t busy = 0;
    const auto [end, fault] = std::from_chars(busySlots.data(), busySlots.data() + busySlots.size(), busy);
    if (fault == std::errc() && end != busySlots.data())
        answer.busySlots = busy;
    return answer;
}

LeaseBatchResult readLeaseResult(const HttpCallResult& result, std::size_t operations)
{
    if (const auto* error = std::get_if<HttpClientError>(&result))
        return translate(*error);
    const auto& response = std::get<HttpResponse>(result);
    if (response.status != Utils::HttpStatus::ok)
        return BackendError::Failed;
    try {
        Model::LeaseBatchAnswer answer = Model::leaseBatchAnswerFromJson(Json::parse(response.body));
        if (answer.results.size() != operations)
            return BackendError::Malformed;
        return answer;
    } catch (const Json::exception&) {
        return BackendError::Malformed;
    }
}

} // namespace

BackendClient::BackendClient(HttpClient& client)
    : client(client)
{
}

void BackendClient::run(const Model::BackendServer& server, const Model::RunRequest& request, Duration timeout,
    std::function<void(RunResult)> done)
{
    HttpCall call { .address = server.address,
        .port = server.port,
        .method = "POST",
        .path = "/v1/services/" + request.service.value(),
        .headers = { { HeaderName::account, request.account.value() },
            { HeaderName::requestId, std::to_string(request.requestId) } },
        .body = request.body,
        .timeout = timeout,
        .maximumAnswer = request.maximumAnswer };
    this->client.send(
        std::move(call), [done = std::move(done)](HttpCallResult result) { done(readRunResult(std::move(result))); });
}

void BackendClient::sendLeaseBatch(const Model::BackendServer& server, const Model::LeaseBatch& batch, Duration timeout,
    std::function<void(LeaseBatchResult)> done)
{
    HttpCall call { .address = server.address,
        .port = server.port,
        .method = "POST",
        .path = "/v1/leases",
        .body = Model::leaseBatchToJson(batch).dump(),
        .timeout = timeout };
    this->client.send(
        std::move(call), [done = std::move(done), operations = batch.operations.size()](const HttpCallResult& result) {
            done(readLeaseResult(result, operations));
        });
}

} // namespace WisteriaHill::Adapters
