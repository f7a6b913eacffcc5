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
    std::optional<Model::PeerReply> reply = Model::decodeReply(response->body);
    if (!reply)
        return PeerError::Unreachable;
    return *std::move(reply);
}

} // namespace

PeerLink::PeerLink(
    EventLoop& loop, HttpClient& client, const Model::PeerAddress& own, Answerer answerer, Rejected rejected)
    : client(client)
    , answerer(std::move(answerer))
    , rejected(std::move(rejected))
    , server(loop, { .address = own.address, .port = own.port, .maximumBody = Model::maximumPeerMessageBytes },
          [this](HttpExchangeId exchange, const HttpRequest& request) { this->onRequest(exchange, request); })
{
}

void PeerLink::onRequest(HttpExchangeId exchange, const HttpRequest& request)
{
    const std::optional<Model::PeerQuestion> question
        = request.path == messagePath ? Model::decodeQuestion(request.body) : std::nullopt;
    if (!question) {
        this->rejected(request.body.size());
        this->server.respond(
            exchange, { .status = Utils::HttpStatus::badRequest, .body = R"({"error":"not a peer message"})" });
        return;
    }
    this->server.respond(
        exchange, { .contentType = messageType, .body = Model::encodeReply(this->answerer(*question)) });
}

void PeerLink::ask(const Model::PeerAddress& to, const Model::PeerQuestion& question, Duration timeout,
    std::function<void(PeerResult)> done)
{
    HttpCall call { .address = to.address,
        .port = to.port,
        .method = "POST",
        .path = messagePath,
        .body = Model::encodeQuestion(question),
        .timeout = timeout,
        .maximumAnswer = Model::maximumPeerMessageBytes };
    this->client.send(
        std::move(call), [done = std::move(done)](const HttpCallResult& result) { done(readReply(result)); });
}

} // namespace WisteriaHill::Adapters
