#include "scheduling/leadership.h"

#include <algorithm>
#include <utility>

namespace WisteriaHill::Scheduling {

using Utils::Event;

namespace {

constexpr Duration rowReadInterval { 300 };
/// The row is read more often after the start, so that a new fleet elects its first leader quickly.
constexpr Duration initialReadPeriod { 1000 };
constexpr Duration initialReadInterval { 50 };
constexpr Duration storeTimeout { 800 };
constexpr const char* unreadableHolder = "?"; ///< of a row that cannot be decoded; the row is claimed after its timeout

} // namespace

void Leadership::handleLeaderHeartbeat(const std::string& node, FencingToken term, SteadyTime now)
{
    if (term < this->highestTerm || node == this->options.node)
        return;
    if (this->role == LeadershipRole::Leader && term > this->row.term)
        this->stepDown(now, "daemon " + node + " leads term " + std::to_string(term));
    if (this->role == LeadershipRole::Leader)
        return;
    if (term > this->highestTerm || this->leader != node)
        this->effects.log(Event::LeaderKnown, { { "leader", node }, { "term", term } });
    this->highestTerm = term;
    this->leader = node;
    this->lastHeartbeatAt = now;
    this->vacant = false;
    this->observedVersion.reset();
}

void Leadership::handlePeerHeartbeat(const std::string& node, bool leading, FencingToken term, SteadyTime now)
{
    // A heartbeat from before this term may come late, so it has to name the term.
    if (this->role != LeadershipRole::Leader || node != this->formerNode || leading || term < this->row.term)
        return;
    this->formerNode.clear();
    this->formerUntil = std::max(this->earlierUntil, std::min(this->formerUntil, now));
    this->effects.log(Event::FormerLeaderOver, { { "former", node }, { "term", this->row.term } });
}

void Leadership::handleLeaderStepDown(FencingToken term, SteadyTime now)
{
    if (this->role == LeadershipRole::Leader || term < this->highestTerm)
        return;
    this->leader.clear();
    this->vacant = true;
    this->nextRead = now + this->options.stagger / 4;
}

void Leadership::stepDown(SteadyTime now, const std::string& reason)
{
    if (this->role != LeadershipRole::Leader)
        return;
    this->effects.log(Event::LeadershipLost, { { "term", this->row.term }, { "reason", reason } });
    this->role = LeadershipRole::Follower;
    this->leader.clear();
    this->lastHeartbeatAt = now;
    this->observedVersion.reset();
}

void Leadership::tick(SteadyTime now)
{
    if (!this->startedAt)
        this->startedAt = now;
    if (this->role == LeadershipRole::Leader || this->withdrawn || this->callOpen || now < this->nextRead)
        return;
    const bool silent = !this->lastHeartbeatAt
        || now - *this->lastHeartbeatAt > this->options.heartbeatTimeout + this->options.stagger;
    if (silent || this->vacant)
        this->readRow(now);
}

void Leadership::readRow(SteadyTime now)
{
    this->callOpen = true;
    this->nextRead = now + (now - *this->startedAt < initialReadPeriod ? initialReadInterval : rowReadInterval);
    this->effects.push(ReadCall { .range = singleRow(rowKey()),
        .timeout = storeTimeout,
        .done = [this](const ReadResult& result) { this->handleRow(result); } });
}

void Leadership::handleRow(const ReadResult& result)
{
    this->callOpen = false;
    const SteadyTime now = this->clock();
    const auto* page = std::get_if<RowPage>(&result);
    if (!page || this->role == LeadershipRole::Leader || this->withdrawn)
        return;
    const bool waited = now - *this->startedAt >= this->options.stagger;
    if (page->rows.empty()) {
        if (waited)
            this->claim(0, {});
        return;
    }
    const Row& read = page->rows.front();
    std::optional<LeadershipRow> previous = decodeLeadership(read.value);
    if (!previous) {
        this->effects.log(Event::RowUnreadable, { { "table", read.key.table }, { "key", read.key.key } });
        // Each term takes a transaction, so no term is higher than the row's version.
        previous = LeadershipRow { .holder = unreadableHolder,
            .term = std::max<FencingToken>(this->highestTerm, static_cast<FencingToken>(read.version)),
            .leftoversRemoved = true };
    }
    if (this->isOwnClaim(*previous)) {
        this->lead(*previous, read.version, now);
        return;
    }
    if (this->observedVersion != read.version) {
        this->observedVersion = read.version;
        this->observedAt = now;
    }
    if (!this->mayStillLead(*previous) || now - this->observedAt > this->options.rowTimeout + this->options.stagger)
        this->claim(read.version, *previous);
}

bool Leadership::mayStillLead(const LeadershipRow& previous) const
{
    const bool ownPredecessor
        = previous.holder == this->options.node && previous.incarnation != this->options.incarnation;
    return !previous.holder.empty() && !ownPredecessor;
}

SteadyTime Leadership::toSteadyTime(StoreTime time, SteadyTime now) const
{
    return now + (time - this->storeClock.at(now));
}

LeadershipRow Leadership::nextRow() const
{
    LeadershipRow next = this->row;
    ++next.serial;
    next.leftoversRemoved = this->leftoversRemoved;
    return next;
}

void Leadership::claim(RowVersion expected, const LeadershipRow& previous)
{
    const SteadyTime now = this->clock();
    // No earlier leader renews for longer than the last one. A later time in the row is of an earlier clock of the
    // store.
    const StoreTime latest = this->storeClock.at(now) + this->options.unconfirmedRenewal;
    const LeadershipRow wanted { .holder = this->options.node,
        .incarnation = this->options.incarnation,
        .term = previous.term + 1,
        .serial = previous.serial + 1,
        .formerLeadersUntil = this->mayStillLead(previous) ? latest : std::min(previous.formerLeadersUntil, latest),
        .leftoversRemoved = previous.leftoversRemoved || expected == 0 };
    if (!this->openClaim || this->openClaim->expected != expected)
        this->openClaim = Claim { .expected = expected, .term = wanted.term, .previous = previous, .firstSentAt = now };
    this->callOpen = true;
    this->effects.push(CommitCall {
        .transaction = { .expected = { { rowKey(), expected } }, .writes = { { rowKey(), encodeLeadership(wanted) } } },
        .timeout = storeTimeout,
        .done = [this, wanted](const CommitResult& result) { this->handleClaimResult(wanted, result); } });
}

bool Leadership::isOwnClaim(const LeadershipRow& stored) const
{
    return this->openClaim && stored.holder == this->options.node && stored.incarnation == this->options.incarnation
        && stored.term == this->openClaim->term;
}

void Leadership::handleClaimResult(const LeadershipRow& wanted, const CommitResult& result)
{
    this->callOpen = false;
    if (this->role == LeadershipRole::Leader || this->withdrawn)
        return;
    const SteadyTime now = this->clock();
    if (const auto* committed = std::get_if<Committed>(&result)) {
        this->lead(wanted, committed->version, now);
    } else if (const auto* conflict = std::get_if<Conflict>(&result)) {
        // An earlier claim whose answer was lost may have succeeded.
        for (const Row& current : conflict->current) {
            const std::optional<LeadershipRow> stored = decodeLeadership(current.value);
            if (stored && this->isOwnClaim(*stored))
                this->lead(*stored, current.version, now);
        }
    }
}

void Leadership::lead(const LeadershipRow& claimed, RowVersion written, SteadyTime now)
{
    const Claim claim = *std::exchange(this->openClaim, std::nullopt);
    const LeadershipRow& previous = claim.previous;
    this->row = claimed;
    this->version = written;
    this->confirmedAt = claim.firstSentAt;
    this->highestTerm = claimed.term;
    this->leftoversRemoved = claimed.leftoversRemoved;
    this->formerUntil = this->toSteadyTime(claimed.formerLeadersUntil, now);
    this->earlierUntil = std::min(this->formerUntil, this->toSteadyTime(previous.formerLeadersUntil, now));
    this->formerNode = previous.holder;
    this->role = LeadershipRole::Leader;
    this->leader = this->options.node;
    this->vacant = false;
    this->effects.log(Event::LeadershipTaken,
        { { "term", claimed.term }, { "rowVersion", written }, { "formerLeader", previous.holder },
            { "formerRenewsForMs",
                std::chrono::duration_cast<Duration>(std::max(this->formerUntil, now) - now).count() } });
    this->elected(now);
}

} // namespace WisteriaHill::Scheduling
