#include "scheduling/configurationfollower.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration storeTimeout { 600 };
constexpr Duration retryPause { 150 };
/// Time for an open watch to deliver a version that another daemon already has.
constexpr Duration peerHintDelay { 200 };
/// Limits how long a connection that stopped responding can hide a change.
constexpr Duration watchWait { 1000 };

} // namespace

void ConfigurationFollower::tick(SteadyTime now)
{
    if (this->readOpen)
        return;
    const bool peerIsAhead = this->peerHint && (!this->watchOpen || now >= this->peerHint->receivedAt + peerHintDelay);
    const bool watchDelivers = this->watchOpen && this->watchTransfer->receivedBytes > 0;
    if ((this->readNeeded || peerIsAhead) && !watchDelivers) {
        if (now >= this->nextRead)
            this->read(now);
        return;
    }
    if (!this->watchOpen)
        this->watch(now);
}

void ConfigurationFollower::handlePeerVersion(std::int64_t version, SteadyTime now)
{
    if ((this->configuration && version <= this->configuration->version) || version <= this->unreadableVersion)
        return;
    if (!this->peerHint || version > this->peerHint->version)
        this->peerHint = PeerHint { .version = version, .receivedAt = now };
}

void ConfigurationFollower::read(SteadyTime now)
{
    this->readOpen = true;
    this->nextRead = now + retryPause;
    const auto transfer = std::make_shared<Transfer>(Transfer { .kind = "read", .startedAt = now });
    this->effects.push(ReadCall { .range = singleRow(this->document),
        .timeout = storeTimeout,
        .received = [transfer](std::size_t bytes) { transfer->receivedBytes += bytes; },
        .done = [this, transfer](const ReadResult& result) { this->handleRead(*transfer, result); } });
}

void ConfigurationFollower::handleRead(const Transfer& transfer, const ReadResult& result)
{
    this->readOpen = false;
    const auto* page = std::get_if<RowPage>(&result);
    if (!page) {
        this->logFailure(transfer);
        return;
    }
    this->readNeeded = page->rows.empty();
    this->position = std::max(this->position, page->version);
    this->applyNewest(page->rows, transfer);
    if (!this->peerHint || this->peerHint->receivedAt > transfer.startedAt)
        return;
    if (!page->rows.empty() && page->rows.back().value == this->lastUnreadable)
        this->unreadableVersion = this->peerHint->version;
    this->peerHint.reset();
}

void ConfigurationFollower::watch(SteadyTime now)
{
    this->watchOpen = true;
    this->watchTransfer = std::make_shared<Transfer>(Transfer { .kind = "watch", .startedAt = now });
    this->effects.push(WatchCall { .table = this->document.table,
        .after = this->position,
        .wait = watchWait,
        .received = [transfer = this->watchTransfer](std::size_t bytes) { transfer->receivedBytes += bytes; },
        .done = [this](const WatchResult& result) { this->handleWatch(*this->watchTransfer, result); } });
}

void ConfigurationFollower::handleWatch(const Transfer& transfer, const WatchResult& result)
{
    this->watchOpen = false;
    if (std::holds_alternative<HistoryCompacted>(result)) {
        this->effects.log(Event::HistoryLost, { { "table", this->document.table }, { "position", this->position } });
        this->readNeeded = true;
        return;
    }
    const auto* page = std::get_if<RowPage>(&result);
    if (!page) {
        this->logFailure(transfer);
        this->nextRead = this->clock() + retryPause;
        this->readNeeded = true;
        return;
    }
    this->position = std::max(this->position, page->version);
    // Several versions in one page are a sign that transfers take longer than the changes are apart. The feed would
    // send each version since; a read sends only the newest.
    this->readNeeded = this->applyNewest(page->rows, transfer) > 1;
}

void ConfigurationFollower::logFailure(const Transfer& transfer)
{
    this->effects.log(Event::ConfigurationReadFailed,
        { { "kind", transfer.kind }, { "position", this->position },
            { "version", this->configuration ? this->configuration->version : 0 },
            { "receivedBytes", transfer.receivedBytes },
            { "elapsedMs", std::chrono::duration_cast<Duration>(this->clock() - transfer.startedAt).count() } });
}

std::size_t ConfigurationFollower::applyNewest(const std::vector<Row>& rows, const Transfer& transfer)
{
    std::size_t versions = 0;
    const Row* newest = nullptr;
    for (const Row& row : rows) {
        if (row.key.key != this->document.key || row.removed)
            continue;
        ++versions;
        newest = &row;
    }
    if (newest)
        this->apply(*newest, transfer);
    return versions;
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
    if (this->peerHint && this->peerHint->version <= configured.version)
        this->peerHint.reset();
    this->configuration = std::make_shared<const FleetConfiguration>(std::move(configured));
    this->rowInForce = row;
    this->applied(this->configuration);
}

} // namespace WisteriaHill::Scheduling
