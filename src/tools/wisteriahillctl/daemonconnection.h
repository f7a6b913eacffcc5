/// Blocking HTTP calls of the command-line tool to one daemon.
#pragma once

#include "adapters/httpclient.h"
#include "model/peermessage.h"

#include <string>

namespace WisteriaHill::Ctl {

/// Thread safety: none.
class DaemonConnection {
public:
    DaemonConnection(Model::PeerAddress daemon, std::string credential);

    /// Sends a call and blocks until its result. Fills in the address, port and credential, and a timeout of 30 s when
    /// the call has none.
    Adapters::HttpCallResult call(Adapters::HttpCall call);

    /// Blocks for `duration` while the event loop runs.
    void sleep(Utils::Duration duration);

private:
    Model::PeerAddress daemon;
    std::string credential;
    Adapters::EventLoop loop;
    Adapters::HttpClient client;
};

} // namespace WisteriaHill::Ctl
