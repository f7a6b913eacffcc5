/// Follows the operator's configuration document in the state store.
#pragma once

#include "scheduling/effects.h"
#include "scheduling/fleetconfiguration.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace WisteriaHill::Scheduling {

/// Why a document is no configuration.
struct ConfigurationError {
    std::string reason;
};

using ConfigurationDecoder = std::function<std::variant<FleetConfiguration, ConfigurationError>(const std::string&)>;

/// Versions never go back within the life of a process. Thread safety: none.
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

    void tick(SteadyTime now);

    /// Another daemon has this version in force: a newer one than ours is read at once.
    void handlePeerVersion(std::int64_t version);

    const std::shared_ptr<const FleetConfiguration>& inForce() const { return this->configuration; }

private:
    void read(SteadyTime now);
    void watch();
    void apply(const Row& row);

    Effects& effects;
    RowKey document;
    ConfigurationDecoder decode;
    std::function<SteadyTime()> clock;
    std::function<void(std::shared_ptr<const FleetConfiguration>)> applied;
    std::shared_ptr<const FleetConfiguration> configuration;
    std::string lastUnreadable; ///< the last document that did not read
    RowVersion position = 0;
    bool readOpen = false;
    bool watchOpen = false;
    bool readNeeded = true;
    SteadyTime nextRead {};
    SteadyTime nextWatch {};
};

} // namespace WisteriaHill::Scheduling
