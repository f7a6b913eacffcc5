#include "controllers/jobtakeover.h"

namespace WisteriaHill::Controllers {

namespace {

using Model::JobRecord;

constexpr Duration tableTimeout { 1500 };

} // namespace

JobTakeover::JobTakeover(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer,
    Utils::RandomSource& random, JobTakeoverCallbacks callbacks)
    : blackboard(blackboard)
    , outbox(outbox)
    , writer(writer)
    , random(random)
    , callbacks(std::move(callbacks))
{
}

void JobTakeover::scan(const LapsedSession& session, std::string after)
{
    ++this->blackboard.counters.tableReads;
    const std::string prefix = Model::jobRowPrefix(this->blackboard.self.zone);
    this->outbox.callTable(Model::TableScan { .prefix = prefix, .after = std::move(after) }, tableTimeout,
        [this, session](const Model::TableAnswer& answer, SteadyTime now) {
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            if (!rows)
                return;
            for (const Model::TableRow& row : rows->rows)
                this->takeOverRow(session, row, now);
            if (rows->more)
                this->scan(session, rows->rows.back().key);
            else
                this->callbacks.finished(session, now);
        });
}

void JobTakeover::takeOverRow(const LapsedSession& session, const Model::TableRow& row, SteadyTime now)
{
    std::optional<JobRecord> record = Model::jobFromText(row.value);
    if (!record || Model::isFinal(record->state) || this->blackboard.jobs.contains(record->id))
        return;
    const bool ownedByLapsed = record->owner == session.host && record->ownerIncarnation == session.incarnation;
    if (!ownedByLapsed && !record->owner.empty())
        return;
    record->owner = this->blackboard.self.host;
    record->ownerIncarnation = this->blackboard.self.incarnation;
    record->nonce = this->random.bits();
    RowChange change { .key = row.key,
        .expected = row.version,
        .value = Utils::toText(Model::jobToJson(*record)),
        .priority = WritePriority::Job };
    this->writer.write(
        std::move(change),
        [this, record = *record](const RowOutcome& outcome, SteadyTime at) {
            const auto* written = std::get_if<RowWritten>(&outcome);
            if (written && !this->blackboard.jobs.contains(record.id))
                this->callbacks.takenOver(record, written->version, at);
        },
        now);
}

} // namespace WisteriaHill::Controllers
