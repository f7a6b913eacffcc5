/// Follows the operator's configuration document in the state store.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace WisteriaHill::Scheduling {

/// Reason why a document cannot be decoded.
struct ConfigurationError {
    std::string reason;
};

using ConfigurationDecoder = std::function<std::variant<FleetConfiguration, ConfigurationError>(const std::string&)>;

/// Applies newer versions of the configuration; within a process the version never decreases. Thread safety: none.
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

    /// Schedules a read of the document when another daemon has a newer version in force.
    void handlePeerVersion(std::int64_t version);

    const std::shared_ptr<const FleetConfiguration>& inForce() const { return this->configuration; }

private:
    /// A read or watch in progress, for the log.
    struct Transfer {
        const char* kind = "";
        SteadyTime startedAt {};
        std::size_t receivedBytes = 0;
    };

    void read(SteadyTime now);
    void watch();
    void apply(const Row& row, const Transfer& transfer);
    void logFailure(const Transfer& transfer);

    Effects& effects;
    RowKey document;
    ConfigurationDecoder decode;
    std::function<SteadyTime()> clock;
    std::function<void(std::shared_ptr<const FleetConfiguration>)> applied;
    std::shared_ptr<const FleetConfiguration> configuration;
    std::string lastUnreadable; ///< the last document that could not be decoded; it is logged once
    RowVersion position = 0;
    bool readOpen = false;
    bool watchOpen = false;
    bool readNeeded = true;
    SteadyTime nextRead {};
    SteadyTime nextWatch {};
};

} // namespace WisteriaHill::Scheduling
