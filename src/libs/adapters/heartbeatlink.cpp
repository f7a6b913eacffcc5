#include "adapters/heartbeatlink.h"

namespace WisteriaHill::Adapters {

HeartbeatLink::HeartbeatLink(EventLoop& loop, const Model::PeerAddress& localAddress, ReceivedHandler receivedHandler,
    RejectedHandler rejectedHandler)
    : receivedHandler(std::move(receivedHandler))
    , rejectedHandler(std::move(rejectedHandler))
    , link(loop, { .address = localAddress.address, .port = localAddress.port }, [this](const std::string& bytes) {
        if (const std::optional<Model::Heartbeat> heartbeat = Model::decodeHeartbeat(bytes))
            this->receivedHandler(*heartbeat);
        else
            this->rejectedHandler(bytes.size());
    })
{
}

void HeartbeatLink::send(const Model::PeerAddress& to, const Model::Heartbeat& heartbeat)
{
    this->link.send({ .address = to.address, .port = to.port }, Model::encodeHeartbeat(heartbeat));
}

} // namespace WisteriaHill::Adapters
