#include "app/doors.h"

#include "utils/checkedjson.h"
#include "utils/eventlog.h"

#include <algorithm>
#include <string>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace WisteriaHill::App {

namespace Budget = Adapters::Budget;

namespace {

std::shared_ptr<Budget::Ledger> ledgerOf(const Budget::ShareLimits& limits)
{
    return std::make_shared<Budget::Ledger>(limits);
}

Budget::BudgetPlan planOf(const FleetSettings& settings)
{
    constexpr double bytesPerMegabyte = 1'048'576;
    return Budget::planBudget({ .memoryBytes = static_cast<std::size_t>(settings.memoryMb * bytesPerMegabyte),
                                  .descriptors = static_cast<std::size_t>(settings.descriptors) },
        settings.connectionsPerAddress);
}

} // namespace

Doors::Doors(const FleetSettings& settings)
    : Doors(planOf(settings))
{
}

Doors::Doors(const Budget::BudgetPlan& plan)
    : doors { Door { "callers", ledgerOf(plan.callers) }, Door { "relay", ledgerOf(plan.relay) },
        Door { "metrics", ledgerOf(plan.metrics) }, Door { "readiness", ledgerOf(plan.readiness) } }
{
}

void Doors::tick()
{
    this->log();
    this->returnMemory();
}

void Doors::returnMemory()
{
    constexpr std::size_t partThatIsFew = 8;
    bool wasFilled = false;
    for (Door& door : this->doors) {
        const std::size_t held = door.ledger->heldBytes();
        door.mostBytes = std::max(door.mostBytes, door.ledger->takeRecentPeak());
        if (door.mostBytes < door.ledger->limits().bytes / 2 || held > door.mostBytes / partThatIsFew)
            continue;
        door.mostBytes = held;
        wasFilled = true;
    }
#ifdef __GLIBC__
    if (wasFilled)
        malloc_trim(0); // the library keeps what is free between what is used
#else
    static_cast<void>(wasFilled);
#endif
}

void Doors::log()
{
    for (Door& door : this->doors) {
        Utils::Json since = Utils::Json::object();
        for (std::size_t index = 1; index < Budget::refusalCount; ++index) {
            const auto refusal = static_cast<Budget::Refusal>(index);
            const std::uint64_t count = door.ledger->refusals(refusal);
            if (count > door.logged[index])
                since[Budget::refusalName(refusal)] = count - door.logged[index];
            door.logged[index] = count;
        }
        if (since.empty())
            continue;
        Utils::logStructured(Utils::Event::ClientsLimited,
            { { "address", door.name }, { "since", std::move(since) }, { "connections", door.ledger->connections() },
                { "requests", door.ledger->requests() }, { "bytes", door.ledger->heldBytes() },
                { "limitBytes", door.ledger->limits().bytes },
                { "limitConnections", door.ledger->limits().connections } });
    }
}

void Doors::write(std::ostream& out) const
{
    const auto gauge = [&](const char* name, auto valueOf) {
        out << "# TYPE wisteriahill_clients_" << name << " gauge\n";
        for (const Door& door : this->doors)
            out << "wisteriahill_clients_" << name << "{address=\"" << door.name << "\"} " << valueOf(*door.ledger)
                << '\n';
    };
    gauge("bytes", [](const Budget::Ledger& ledger) { return ledger.heldBytes(); });
    gauge("peak_bytes", [](const Budget::Ledger& ledger) { return ledger.peakBytes(); });
    gauge("limit_bytes", [](const Budget::Ledger& ledger) { return ledger.limits().bytes; });
    gauge("connections", [](const Budget::Ledger& ledger) { return ledger.connections(); });
    gauge("requests", [](const Budget::Ledger& ledger) { return ledger.requests(); });
    out << "# TYPE wisteriahill_clients_limited_total counter\n";
    for (const Door& door : this->doors) {
        for (std::size_t index = 1; index < Budget::refusalCount; ++index) {
            const auto refusal = static_cast<Budget::Refusal>(index);
            out << "wisteriahill_clients_limited_total{address=\"" << door.name << "\",reason=\""
                << Budget::refusalName(refusal) << "\"} " << door.ledger->refusals(refusal) << '\n';
        }
    }
}

} // namespace WisteriaHill::App
