/// Connects the daemon's core to its environment: passes inputs to the core and performs the effects that it returns.
#pragma once

#include "controllers/daemoncore.h"
#include "utils/result.h"
#include "utils/steadytime.h"

#include <concepts>
#include <functional>
#include <utility>

namespace WisteriaHill::Adapters {

using Utils::Duration;

/// Calls the platform's table service and fetches its host list.
template <typename T>
concept Platform = requires(T platform, const Model::TableOperation& operation, Duration timeout,
    std::function<void(Model::TableAnswer)> tableDone, std::function<void(Controllers::HostListResult)> listDone)
{
    platform.call(operation, timeout, tableDone);
    platform.fetchHostList(timeout, listDone);
};

/// Sends requests and lease batches to backend servers.
template <typename T>
concept BackendLink = requires(T backend, const Model::BackendServer& server, const Model::RunRequest& request,
    const Model::LeaseBatch& batch, Duration timeout, std::function<void(Controllers::RunResult)> runDone,
    std::function<void(Controllers::LeaseBatchResult)> batchDone)
{
    backend.run(server, request, timeout, runDone);
    backend.sendLeaseBatch(server, batch, timeout, batchDone);
};

/// Sends heartbeats and requests to other daemons.
template <typename T>
concept PeerTransport = requires(T peers, const Model::PeerAddress& to, const Model::Heartbeat& heartbeat,
    const Model::PeerRequest& request, Duration timeout, std::function<void(Controllers::PeerResult)> done)
{
    peers.sendHeartbeat(to, heartbeat);
    peers.call(to, request, timeout, done);
};

/// Answers callers and operators, writes the log and ends the process.
template <typename T>
concept FrontEnd = requires(T frontEnd, const Controllers::AnswerCaller& answer,
    const Controllers::AnswerDocument& document, const Controllers::LogEvent& event)
{
    frontEnd.answer(answer);
    frontEnd.answer(document);
    frontEnd.log(event);
    frontEnd.exitProcess();
};

/// Thread safety: none. The core and the dependencies must outlive the runner and every open call.
template <Platform PlatformType, BackendLink BackendType, PeerTransport PeerType, FrontEnd FrontType,
    Utils::Clock ClockType>
class DaemonRunner {
public:
    struct Dependencies {
        PlatformType& platform;
        BackendType& backend;
        PeerType& peers;
        FrontType& frontEnd;
        const ClockType& clock;
    };

    DaemonRunner(Controllers::DaemonCore& core, Dependencies dependencies)
        : core(core)
        , dependencies(dependencies)
    {
    }

    /// Calls `action` with the core and the current time, then performs the effects that the core returns.
    template <typename Input> void input(Input&& action)
    {
        std::forward<Input>(action)(this->core, this->dependencies.clock.now());
        this->performEffects();
    }

private:
    void performEffects()
    {
        for (Controllers::Effect& effect : this->core.takeEffects())
            std::visit([this](auto& known) { this->perform(known); }, effect);
    }

    /// Returns a callback that passes the answer of `call` to the core.
    auto completionHandler(Controllers::CallId call)
    {
        return [this, call](auto answer) {
            this->input([&](Controllers::DaemonCore& core, Utils::SteadyTime now) {
                core.callAnswered(call, Controllers::CallAnswer(std::move(answer)), now);
            });
        };
    }

    void perform(const Controllers::CallTable& effect)
    {
        this->dependencies.platform.call(effect.operation, effect.timeout, this->completionHandler(effect.call));
    }
    void perform(const Controllers::FetchHostList& effect)
    {
        this->dependencies.platform.fetchHostList(effect.timeout, this->completionHandler(effect.call));
    }
    void perform(const Controllers::RunOnServer& effect)
    {
        this->dependencies.backend.run(
            effect.server, effect.request, effect.timeout, this->completionHandler(effect.call));
    }
    void perform(const Controllers::SendLeaseBatch& effect)
    {
        this->dependencies.backend.sendLeaseBatch(
            effect.server, effect.batch, effect.timeout, this->completionHandler(effect.call));
    }
    void perform(const Controllers::SendHeartbeat& effect)
    {
        this->dependencies.peers.sendHeartbeat(effect.to, effect.heartbeat);
    }
    void perform(const Controllers::CallPeer& effect)
    {
        this->dependencies.peers.call(effect.to, effect.request, effect.timeout, this->completionHandler(effect.call));
    }
    void perform(const Controllers::AnswerCaller& effect) { this->dependencies.frontEnd.answer(effect); }
    void perform(const Controllers::AnswerDocument& effect) { this->dependencies.frontEnd.answer(effect); }
    void perform(const Controllers::LogEvent& effect) { this->dependencies.frontEnd.log(effect); }
    void perform(const Controllers::ExitProcess&) { this->dependencies.frontEnd.exitProcess(); }

    Controllers::DaemonCore& core;
    Dependencies dependencies;
};

} // namespace WisteriaHill::Adapters
