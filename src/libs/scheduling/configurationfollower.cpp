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
    this->effects.push(ReadCall {
        .range = singleRow(this->document), .timeout = storeTimeout, .done = [this](const ReadResult& result) {
            this->readOpen = false;
            const auto* page = std::get_if<RowPage>(&result);
            if (!page)
                return;
            this->readNeeded = page->rows.empty();
            if (this->position == 0)
                this->position = page->version;
            for (const Row& row : page->rows)
                this->apply(row);
        } });
}

void ConfigurationFollower::watch()
{
    this->watchOpen = true;
    this->effects.push(WatchCall { .table = this->document.table,
        .after = this->position,
        .wait = watchWait,
        .done = [this](const WatchResult& result) {
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
                this->nextWatch = now + retryPause;
                this->readNeeded = true;
                return;
            }
            this->position = page->version;
            for (const Row& row : page->rows) {
                if (row.key.key == this->document.key && !row.removed)
                    this->apply(row);
            }
        } });
}

void ConfigurationFollower::apply(const Row& row)
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
            { "previous", this->configuration ? this->configuration->version : 0 } });
    this->configuration = std::make_shared<const FleetConfiguration>(std::move(configured));
    this->applied(this->configuration);
}

} // namespace WisteriaHill::Scheduling
