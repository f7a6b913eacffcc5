/// Sends requests and lease batches to backend servers over HTTP.
#pragma once

#include "adapters/httpclient.h"
#include "controllers/effects.h"

#include <functional>

namespace WisteriaHill::Adapters {

/// Thread safety: none.
class BackendClient {
public:
    /// The client must outlive this object.
    explicit BackendClient(HttpClient& client);

    /// Both functions call `done` exactly once, from the event loop, at the latest when the timeout ends.
    void run(const Model::BackendServer& server, const Model::RunRequest& request, Duration timeout,
        std::function<void(Controllers::RunResult)> done);
    void sendLeaseBatch(const Model::BackendServer& server, const Model::LeaseBatch& batch, Duration timeout,
        std::function<void(Controllers::LeaseBatchResult)> done);

private:
    HttpClient& client;
};

} // namespace WisteriaHill::Adapters
