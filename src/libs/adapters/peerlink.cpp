#include "adapters/peerlink.h"

#include "utils/httpstatus.h"

namespace WisteriaHill::Adapters {

namespace {

using Controllers::PeerError;
using Controllers::PeerResult;

constexpr const char* messagePath = "/peer";
constexpr const char* messageType = "application/x-cereal";

PeerResult readReply(const HttpCallResult& result)
{
    const auto* response = std::get_if<HttpResponse>(&result);
    if (!response || response->status != Utils::HttpStatus::ok)
        return PeerError::Unreachable;
    std::optional<Model::PeerReply> reply = Model::decodePeerReply(response->body);
    if (!reply)
        return PeerError::Unreachable;
    return *std::move(reply);
}

} // namespace

PeerLink::PeerLink(EventLoop& loop, HttpClient& client, const Model::PeerAddress& localAddress,
    RequestHandler requestHandler, RejectedHandler rejectedHandler)
    : client(client)
    , requestHandler(std::move(requestHandler))
    , rejectedHandler(std::move(rejectedHandler))
    , server(loop,
          { .address = localAddress.address, .port = localAddress.port, .maximumBody = Model::maximumPeerMessageBytes },
          [this](HttpExchangeId exchange, const HttpRequest& request) { this->onRequest(exchange, request); })
{
}

void PeerLink::onRequest(HttpExchangeId exchange, const HttpRequest& request)
{
    const std::optional<Model::PeerRequest> peerRequest
        = request.path == messagePath ? Model::decodePeerRequest(request.body) : std::nullopt;
    if (!peerRequest) {
        this->rejectedHandler(request.body.size());
        this->server.respond(exchange,
            { .status = Utils::HttpStatus::badRequest,
                .body = R"({"error":"the request is not a valid peer message"})" });
        return;
    }
    this->server.respond(
        exchange, { .contentType = messageType, .body = Model::encodePeerReply(this->requestHandler(*peerRequest)) });
}

void PeerLink::call(const Model::PeerAddress& to, const Model::PeerRequest& peerRequest, Duration timeout,
    std::function<void(PeerResult)> done)
{
    HttpCall call { .address = to.address,
        .port = to.port,
        .method = "POST",
        .path = messagePath,
        .body = Model::encodePeerRequest(peerRequest),
        .timeout = timeout,
        .maximumAnswer = Model::maximumPeerMessageBytes };
    this->client.send(
        std::move(call), [done = std::move(done)](const HttpCallResult& result) { done(readReply(result)); });
}

} // namespace WisteriaHill::Adapters
