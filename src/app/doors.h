/// What clients may hold of a FleetDaemon: one ledger for each address that it listens on, with their log lines and
/// metrics.
#pragma once

#include "adapters/budget/ledger.h"
#include "app/fleetsettings.h"

#include <array>
#include <memory>
#include <ostream>

namespace WisteriaHill::App {

/// Thread safety: none.
class Doors {
public:
    explicit Doors(const FleetSettings& settings);

    std::shared_ptr<Adapters::Budget::Ledger> callers() const { return this->doors[0].ledger; }
    std::shared_ptr<Adapters::Budget::Ledger> relay() const { return this->doors[1].ledger; }
    std::shared_ptr<Adapters::Budget::Ledger> metrics() const { return this->doors[2].ledger; }
    std::shared_ptr<Adapters::Budget::Ledger> readiness() const { return this->doors[3].ledger; }

    /// Logs at most one line for each address, with what was refused and closed since its last line, and returns memory
    /// to the system once a share that was half used is nearly free. To be called about once a second.
    void tick();

    /// Writes the gauges and counters in the text format of Prometheus.
    void write(std::ostream& out) const;

private:
    void log();
    void returnMemory();
    explicit Doors(const Adapters::Budget::BudgetPlan& plan);

    using Counts = std::array<std::uint64_t, Adapters::Budget::refusalCount>;

    struct Door {
        const char* name;
        std::shared_ptr<Adapters::Budget::Ledger> ledger;
        Counts logged {};
        std::size_t mostBytes = 0; ///< that were seen held since memory was returned
    };

    std::array<Door, 4> doors;
};

} // namespace WisteriaHill::App
