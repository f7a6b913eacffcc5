/// Hosts, servers and open calls of the in-process fleet; private to its sources.
#pragma once

#include "support/fleet.h"

namespace WisteriaHill::Tests {

struct Fleet::Host {
    std::unique_ptr<Controllers::DaemonCore> core;
    std::uint64_t generation = 0; ///< of the process; messages to an earlier process are lost
    bool paused = false;
    bool exited = false;
    Model::Revision revision = 0; ///< last one seen active
    bool cutFromPlatform = false;
    bool cutFromPeers = false;
    std::set<std::size_t> cutServers;
    std::deque<Input> deferred; ///< inputs that arrived while the host was paused
    std::set<Model::CallerId> openCallers;
};

struct Fleet::Server {
    Server(std::uint32_t count, Model::Incarnation incarnation)
        : state(count, incarnation)
    {
    }
    ServerState state;
    bool alive = true;
    bool silent = false;
    bool failsEverything = false;
    Duration serviceTime { 0 };
    std::uint32_t busySlots = 0;
    std::uint64_t run = 0;
    std::uint64_t generation = 0;
    SteadyTime lastNewWork;
};

struct Fleet::Call {
    std::size_t host = 0;
    std::uint64_t generation = 0;
    Controllers::CallId id = 0;
    bool answered = false;
};

} // namespace WisteriaHill::Tests
