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

    /// Sends a call and waits for its result. Address, port and credential are filled in.
    Adapters::HttpCallResult call(Adapters::HttpCall call);

    /// Lets the time pass.
    void sleep(Utils::Duration duration);

private:
    Model::PeerAddress daemon;
    std::string credential;
    Adapters::EventLoop loop;
    Adapters::HttpClient client;
};

} // namespace WisteriaHill::Ctl
