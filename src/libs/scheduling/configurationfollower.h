/// Follows the operator's configuration document in the state store.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Reason why a document cannot be decoded.
struct ConfigurationError {
    std::string reason;
};

using ConfigurationDecoder = std::function<std::variant<FleetConfiguration, ConfigurationError>(const std::string&)>;

/// Applies newer versions of the configuration; within a process the version never decreases. The document can take a
/// large part of a second on the link of a small host, so it is not requested while it is being received, and versions
/// that were missed are not requested one by one. Thread safety: none.
class ConfigurationFollower {
public:
    ConfigurationFollower(
        Effects& effects, RowKey document, ConfigurationDecoder decode, std::function<SteadyTime()> clock)
        : effects(effects)
        , document(std::move(document))
        , decode(std::move(decode))
        , clock(std::move(clock))
    {
    }

    void onApplied(std::function<void(std::shared_ptr<const FleetConfiguration>)> handler)
    {
        this->applied = std::move(handler);
    }

    /// Reads and watches the document when due.
    void tick(SteadyTime now);

    /// Notes the version that another daemon has in force. The document is read when the watch does not deliver it.
    void handlePeerVersion(std::int64_t version, SteadyTime now);

    const std::shared_ptr<const FleetConfiguration>& inForce() const { return this->configuration; }

    /// The document of the configuration in force. Precondition: one is in force.
    const Row& row() const { return this->rowInForce; }

private:
    /// A read or watch in progress.
    struct Transfer {
        const char* kind = "";
        SteadyTime startedAt {};
        std::size_t receivedBytes = 0;
    };

    /// The newest version that other daemons reported and this one does not have.
    struct PeerHint {
        std::int64_t version = 0;
        SteadyTime receivedAt {};
    };

    void read(SteadyTime now);
    void handleRead(const Transfer& transfer, const ReadResult& result);
    void watch(SteadyTime now);
    void handleWatch(const Transfer& transfer, const WatchResult& result);
    /// Applies the last row that holds the document. Returns the number of such rows.
    std::size_t applyNewest(const std::vector<Row>& rows, const Transfer& transfer);
    void apply(const Row& row, const Transfer& transfer);
    void logFailure(const Transfer& transfer);

    Effects& effects;
    RowKey document;
    ConfigurationDecoder decode;
    std::function<SteadyTime()> clock;
    std::function<void(std::shared_ptr<const FleetConfiguration>)> applied;
    std::shared_ptr<const FleetConfiguration> configuration;
    Row rowInForce;
    std::int64_t unreadableVersion = 0; ///< newest version of other daemons that this one could not decode
    std::string lastUnreadable; ///< the last document that could not be decoded; it is logged once
    RowVersion position = 0;
    bool readOpen = false;
    bool watchOpen = false;
    bool readNeeded = true;
    std::shared_ptr<Transfer> watchTransfer; ///< of the last watch
    std::optional<PeerHint> peerHint;
    SteadyTime nextRead {};
};

} // namespace WisteriaHill::Scheduling
