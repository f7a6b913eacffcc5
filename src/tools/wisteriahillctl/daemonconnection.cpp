#include "wisteriahillctl/daemonconnection.h"

#include <optional>

namespace WisteriaHill::Ctl {

namespace {

constexpr Utils::Duration defaultTimeout { 30'000 };

} // namespace

DaemonConnection::DaemonConnection(Model::PeerAddress daemon, std::string credential)
    : daemon(std::move(daemon))
    , credential(std::move(credential))
    , client(this->loop)
{
}

Adapters::HttpCallResult DaemonConnection::call(Adapters::HttpCall call)
{
    call.address = this->daemon.address;
    call.port = this->daemon.port;
    if (call.timeout.count() == 0)
        call.timeout = defaultTimeout;
    if (!this->credential.empty())
        call.headers[Adapters::HeaderName::authorization] = "Bearer " + this->credential;

    std::optional<Adapters::HttpCallResult> outcome;
    this->client.send(std::move(call), [&](Adapters::HttpCallResult result) { outcome = std::move(result); });
    while (!outcome)
        this->loop.runOnce();
    return *std::move(outcome);
}

void DaemonConnection::sleep(Utils::Duration duration)
{
    bool over = false;
    this->loop.after(duration, [&]() { over = true; });
    while (!over)
        this->loop.runOnce();
}

} // namespace WisteriaHill::Ctl
