#include "controllers/sessioncontroller.h"

#include "controllers/zoneowner.h"

namespace WisteriaHill::Controllers {

namespace {

using Utils::Event;
using Utils::Json;

constexpr Duration sessionLength { 12'000 };
constexpr Duration renewInterval { 4000 };
constexpr Duration sessionPollInterval { 4000 };
constexpr Duration takeoverMargin { 3000 };
constexpr Duration takeoverRetryInterval { 2000 };
constexpr Duration tableTimeout { 1500 };

std::string sessionPrefix(const Model::AvailabilityZoneId& zone) { return "sessions/" + zone.value() + "/"; }

std::string sessionKey(const Model::AvailabilityZoneId& zone, const LapsedSession& session)
{
    return sessionPrefix(zone) + session.host.value() + "@" + std::to_string(session.incarnation);
}

} // namespace

SessionController::SessionController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer,
    Utils::RandomSource& random, std::function<void(const LapsedSession&, SteadyTime)> lapsed)
    : blackboard(blackboard)
    , outbox(outbox)
    , writer(writer)
    , random(random)
    , lapsed(std::move(lapsed))
{
}

std::string SessionController::ownKey() const
{
    return sessionKey(this->blackboard.self.zone, { this->blackboard.self.host, this->blackboard.self.incarnation });
}

bool SessionController::holdsSession(SteadyTime now) const { return now < this->heldUntil; }

void SessionController::tick(SteadyTime now)
{
    if (!this->blackboard.configuration)
        return;
    if (!this->writing && now >= this->nextRenewal)
        this->renew(now);
    if (now >= this->nextPoll) {
        this->nextPoll = now + this->random.jittered(sessionPollInterval);
        this->pollSessions();
    }
    this->reportLapsed(now);
}

void SessionController::renew(SteadyTime now)
{
    this->writing = true;
    this->nextRenewal = now + renewInterval;
    const Json value { { "host", this->blackboard.self.host }, { "incarnation", this->blackboard.self.incarnation },
        { "counter", ++this->counter } };
    RowChange change {
        .key = this->ownKey(), .expected = this->ownVersion, .value = value.dump(), .priority = WritePriority::Session
    };
    // The session's length counts from the time of the write request, because other daemons may have seen the new row
    // at any time after it.
    this->writer.write(
        std::move(change),
        [this, requestedAt = now](const RowOutcome& outcome, SteadyTime at) {
            this->writing = false;
            if (const auto* written = std::get_if<RowWritten>(&outcome)) {
                this->ownVersion = written->version;
                this->heldUntil = requestedAt + sessionLength;
                return;
            }
            const Model::TableRow& current = std::get<RowConflict>(outcome).current;
            this->outbox.log(Event::SessionLapsed, "the row was changed by another daemon");
            this->ownVersion = current.version;
            this->heldUntil = {};
            this->nextRenewal = at;
        },
        now);
}

void SessionController::pollSessions()
{
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableScan { .prefix = sessionPrefix(this->blackboard.self.zone) }, tableTimeout,
        [this](const Model::TableAnswer& answer, SteadyTime now) {
            if (const auto* rows = std::get_if<Model::TableRows>(&answer))
                this->onRows(rows->rows, now);
        });
}

void SessionController::onRows(const std::vector<Model::TableRow>& rows, SteadyTime now)
{
    std::map<std::string, ObservedSession> present;
    for (const Model::TableRow& row : rows) {
        const Json json = Json::parse(row.value, nullptr, false);
        if (row.key == this->ownKey() || json.is_discarded())
            continue;
        const auto known = this->observedSessions.find(row.key);
        const bool unchanged = known != this->observedSessions.end() && known->second.version == row.version;
        const LapsedSession session { Model::EntryHostId(json.value("host", "")), json.value("incarnation", 0ULL) };
        present[row.key] = unchanged ? known->second : ObservedSession { row.version, now, session };
    }
    this->observedSessions = std::move(present);
}

void SessionController::reportLapsed(SteadyTime now)
{
    for (auto& [key, entry] : this->observedSessions) {
        const auto member = this->blackboard.members.find(entry.session.host);
        const bool announcedLeave = member != this->blackboard.members.end()
            && member->second.incarnation == entry.session.incarnation
            && member->second.phase == Model::HostPhase::Left;
        const Duration unchangedFor = std::chrono::duration_cast<Duration>(now - entry.unchangedSince);
        const bool due = announcedLeave || unchangedFor >= sessionLength + takeoverMargin;
        if (!due || !isZoneOwner(this->blackboard, key))
            continue;
        entry.unchangedSince = now - sessionLength - takeoverMargin + takeoverRetryInterval;
        this->lapsed(entry.session, now);
    }
}

void SessionController::remove(const LapsedSession& session, SteadyTime now)
{
    const std::string key = sessionKey(this->blackboard.self.zone, session);
    const auto known = this->observedSessions.find(key);
    if (known == this->observedSessions.end())
        return;
    RowChange change { .key = key, .expected = known->second.version, .priority = WritePriority::Housekeeping };
    this->observedSessions.erase(known);
    this->writer.write(
        std::move(change), [](const RowOutcome&, SteadyTime) {}, now);
}

} // namespace WisteriaHill::Controllers
