/// Calls the platform's table service and host list over HTTP.
#pragma once

#include "adapters/httpclient.h"
#include "controllers/effects.h"
#include "model/peermessage.h"

#include <functional>

namespace WisteriaHill::Adapters {

/// Thread safety: none.
class PlatformClient {
public:
    /// The client must outlive this object.
    PlatformClient(HttpClient& client, Model::PeerAddress platform);

    /// Both functions call `done` exactly once, from the event loop, at the latest when the timeout ends.
    void call(const Model::TableOperation& operation, Duration timeout, std::function<void(Model::TableAnswer)> done);
    /// `done` gets the whole list. The platform sends it only when it has changed since the last call; otherwise `done`
    /// gets the list that was received last.
    void fetchHostList(Duration timeout, std::function<void(Controllers::HostListResult)> done);

private:
    HttpClient& client;
    Model::PeerAddress platform;
    std::uint64_t listVersion = 0;
    std::vector<Controllers::ListedHost> hosts;
};

} // namespace WisteriaHill::Adapters
