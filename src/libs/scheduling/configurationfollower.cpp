#include "scheduling/configurationfollower.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration storeTimeout { 600 };
constexpr Duration retryPause { 150 };
/// Limits how long a connection that stopped responding can hide a change.
constexpr Duration watchWait { 2000 };

} // namespace

void ConfigurationFollower::tick(SteadyTime now)
{
    if (this->readNeeded && !this->readOpen && now >= this->nextRead)
        this->read(now);
    if (this->position != 0 && !this->watchOpen && now >= this->nextWatch)
        this->watch();
}

void ConfigurationFollower::handlePeerVersion(std::int64_t version)
{
    if (!this->configuration || version > this->configuration->version)
        this->readNeeded = true;
}

void ConfigurationFollower::read(SteadyTime now)
{
    this->readOpen = true;
    this->nextRead = now + retryPause;
    const auto transfer = std::make_shared<Transfer>(Transfer { .kind = "read", .startedAt = now });
    this->effects.push(ReadCall { .range = singleRow(this->document),
        .timeout = storeTimeout,
        .received = [transfer](std::size_t bytes) { transfer->receivedBytes += bytes; },
        .done =
            [this, transfer](const ReadResult& result) {
                this->readOpen = false;
                const auto* page = std::get_if<RowPage>(&result);
                if (!page) {
                    this->logFailure(*transfer);
                    return;
                }
                this->readNeeded = page->rows.empty();
                if (this->position == 0)
                    this->position = page->version;
                for (const Row& row : page->rows)
                    this->apply(row, *transfer);
            } });
}

void ConfigurationFollower::watch()
{
    this->watchOpen = true;
    const auto transfer = std::make_shared<Transfer>(Transfer { .kind = "watch", .startedAt = this->clock() });
    this->effects.push(WatchCall { .table = this->document.table,
        .after = this->position,
        .wait = watchWait,
        .received = [transfer](std::size_t bytes) { transfer->receivedBytes += bytes; },
        .done =
            [this, transfer](const WatchResult& result) {
                this->watchOpen = false;
                const SteadyTime now = this->clock();
                if (std::holds_alternative<HistoryCompacted>(result)) {
                    this->effects.log(
                        Event::HistoryLost, { { "table", this->document.table }, { "position", this->position } });
                    this->position = 0;
                    this->readNeeded = true;
                    return;
                }
                const auto* page = std::get_if<RowPage>(&result);
                if (!page) {
                    this->logFailure(*transfer);
                    this->nextWatch = now + retryPause;
                    this->readNeeded = true;
                    return;
                }
                this->position = page->version;
                for (const Row& row : page->rows) {
                    if (row.key.key == this->document.key && !row.removed)
                        this->apply(row, *transfer);
                }
            } });
}

void ConfigurationFollower::logFailure(const Transfer& transfer)
{
    this->effects.log(Event::ConfigurationReadFailed,
        { { "kind", transfer.kind }, { "position", this->position },
            { "version", this->configuration ? this->configuration->version : 0 },
            { "receivedBytes", transfer.receivedBytes },
            { "elapsedMs", std::chrono::duration_cast<Duration>(this->clock() - transfer.startedAt).count() } });
}

void ConfigurationFollower::apply(const Row& row, const Transfer& transfer)
{
    auto decoded = this->decode(row.value);
    if (const auto* error = std::get_if<ConfigurationError>(&decoded)) {
        if (this->lastUnreadable != row.value)
            this->effects.log(
                Event::ConfigurationUnreadable, { { "reason", error->reason }, { "rowVersion", row.version } });
        this->lastUnreadable = row.value;
        return;
    }
    auto& configured = std::get<FleetConfiguration>(decoded);
    if (this->configuration && configured.version <= this->configuration->version)
        return;
    this->effects.log(Event::ConfigurationInForce,
        { { "version", configured.version }, { "rowVersion", row.version },
            { "previous", this->configuration ? this->configuration->version : 0 }, { "kind", transfer.kind },
            { "documentBytes", row.value.size() }, { "receivedBytes", transfer.receivedBytes },
            { "elapsedMs", std::chrono::duration_cast<Duration>(this->clock() - transfer.startedAt).count() } });
    this->configuration = std::make_shared<const FleetConfiguration>(std::move(configured));
    this->applied(this->configuration);
}

} // namespace WisteriaHill::Scheduling
