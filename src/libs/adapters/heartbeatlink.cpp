#include "adapters/heartbeatlink.h"

namespace WisteriaHill::Adapters {

HeartbeatLink::HeartbeatLink(EventLoop& loop, const Model::PeerAddress& own, Received received, Rejected rejected)
    : received(std::move(received))
    , rejected(std::move(rejected))
    , link(loop, { .address = own.address, .port = own.port }, [this](const std::string& bytes) {
        if (const std::optional<Model::Heartbeat> heartbeat = Model::decodeHeartbeat(bytes))
            this->received(*heartbeat);
        else
            this->rejected(bytes.size());
    })
{
}

void HeartbeatLink::send(const Model::PeerAddress& to, const Model::Heartbeat& heartbeat)
{
    this->link.send({ .address = to.address, .port = to.port }, Model::encodeHeartbeat(heartbeat));
}

} // namespace WisteriaHill::Adapters
