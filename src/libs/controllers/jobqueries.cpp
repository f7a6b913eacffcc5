#include "controllers/jobqueries.h"

#include "controllers/documentanswers.h"
#include "utils/httpstatus.h"

namespace WisteriaHill::Controllers {

namespace {

using Model::JobEntry;
using Model::JobId;
using Model::JobRecord;
using Utils::Json;

constexpr Duration tableTimeout { 1500 };
constexpr Duration peerTimeout { 1000 };
constexpr Duration tableRetryAfter { 2000 };
constexpr Duration changedRetryAfter { 1000 };

} // namespace

JobQueries::JobQueries(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random)
    : blackboard(blackboard)
    , outbox(outbox)
    , writer(writer)
    , random(random)
{
}

void JobQueries::requestCancel(CallerId caller, const Model::ClientAccountId& account, const JobId& job)
{
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableRead { .keys = { Model::jobRowKey(this->blackboard.self.zone, job) } },
        tableTimeout, [this, caller, account](const Model::TableAnswer& answer, SteadyTime now) {
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            if (!rows) {
                answerWithRefusal(this->outbox, caller, Utils::HttpStatus::unavailable,
                    "the table service is unavailable", tableRetryAfter);
                return;
            }
            std::optional<JobRecord> record
                = rows->rows.empty() ? std::nullopt : Model::jobFromText(rows->rows.front().value);
            if (!record || record->specification.account != account) {
                answerWithRefusal(this->outbox, caller, Utils::HttpStatus::notFound, "no such job");
                return;
            }
            this->onRowForCancel(caller, rows->rows.front(), *std::move(record), now);
        });
}

void JobQueries::onRowForCancel(CallerId caller, const Model::TableRow& row, JobRecord record, SteadyTime now)
{
    if (Model::isFinal(record.state)) {
        answerWithDocument(this->outbox, caller, Utils::HttpStatus::ok, publicJob(record));
        return;
    }
    record.cancelRequested = true;
    record.nonce = this->random.bits();
    RowChange change { .key = row.key,
        .expected = row.version,
        .value = Utils::toText(Model::jobToJson(record)),
        .priority = WritePriority::Job };
    this->writer.write(
        std::move(change),
        [this, caller, record](const RowOutcome& outcome, SteadyTime) {
            if (std::holds_alternative<RowConflict>(outcome)) {
                answerWithRefusal(this->outbox, caller, Utils::HttpStatus::conflict,
                    "the job's row changed during the cancellation; try again", changedRetryAfter);
                return;
            }
            answerWithDocument(this->outbox, caller, Utils::HttpStatus::accepted, publicJob(record));
            const auto owner = this->blackboard.members.find(record.owner);
            if (owner != this->blackboard.members.end() && owner->second.live)
                this->outbox.callPeer(owner->second.address, Model::CancelOwnedJob { record.id }, peerTimeout,
                    [](const PeerResult&, SteadyTime) {});
        },
        now);
}

void JobQueries::describe(
    CallerId caller, const Model::ClientAccountId& account, const JobId& job, bool explain, SteadyTime now)
{
    const auto found = this->blackboard.jobs.find(job);
    const JobEntry* entry = found == this->blackboard.jobs.end() ? nullptr : &found->second;
    if (!entry || entry->record.specification.account != account) {
        this->answerFromRow(caller, account, job);
        return;
    }
    Json document = publicJob(entry->record);
    if (explain) {
        document["notes"] = Json::array();
        for (const JobEntry::HistoryEntry& item : entry->history)
            document["notes"].push_back(
                { { "msAgo", std::chrono::duration_cast<Duration>(now - item.at).count() }, { "text", item.text } });
    }
    answerWithDocument(this->outbox, caller, Utils::HttpStatus::ok, std::move(document));
}

void JobQueries::answerFromRow(CallerId caller, const Model::ClientAccountId& account, const JobId& job)
{
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableRead { .keys = { Model::jobRowKey(this->blackboard.self.zone, job) } },
        tableTimeout, [this, caller, account](const Model::TableAnswer& answer, SteadyTime) {
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            if (!rows) {
                answerWithRefusal(this->outbox, caller, Utils::HttpStatus::unavailable,
                    "the table service is unavailable", tableRetryAfter);
                return;
            }
            const std::optional<JobRecord> record
                = rows->rows.empty() ? std::nullopt : Model::jobFromText(rows->rows.front().value);
            if (record && record->specification.account == account)
                answerWithDocument(this->outbox, caller, Utils::HttpStatus::ok, publicJob(*record));
            else
                answerWithRefusal(this->outbox, caller, Utils::HttpStatus::notFound, "no such job");
        });
}

void JobQueries::list(CallerId caller, const Model::ClientAccountId& account)
{
    Json jobs = Json::array();
    for (const auto& [id, entry] : this->blackboard.jobs) {
        if (entry.record.specification.account == account)
            jobs.push_back(publicJob(entry.record));
    }
    answerWithDocument(
        this->outbox, caller, Utils::HttpStatus::ok, { { "host", this->blackboard.self.host }, { "jobs", jobs } });
}

} // namespace WisteriaHill::Controllers
