#include "controllers/tablewriter.h"

#include <algorithm>

namespace WisteriaHill::Controllers {

namespace {

using Model::TableAnswer;
using Model::TableError;
using Model::TableRow;
using Utils::Event;

constexpr std::size_t rowsPerTransaction = 64;
constexpr Duration callTimeout { 2000 };
constexpr Duration firstRetryDelay { 50 };
constexpr Duration maximumRetryDelay { 2000 };
constexpr std::uint32_t maximumDoublings = 6;

const TableRow* findRow(const std::vector<TableRow>& rows, const std::string& key)
{
    const auto found = std::ranges::find(rows, key, &TableRow::key);
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

TableWriter::TableWriter(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random)
    : blackboard(blackboard)
    , outbox(outbox)
    , random(random)
{
}

WriteId TableWriter::write(RowChange change, Continuation<RowOutcome> done, SteadyTime now)
{
    const WriteId id = ++this->lastId;
    this->requeue({ .id = id, .change = std::move(change), .done = std::move(done) });
    this->sendNext(now);
    return id;
}

bool TableWriter::cancel(WriteId write)
{
    const auto found = std::ranges::find_if(this->waiting, [&](const auto& entry) { return entry.second.id == write; });
    if (found == this->waiting.end() || found->second.mayArriveLate)
        return false;
    this->waiting.erase(found);
    return true;
}

void TableWriter::tick(SteadyTime now) { this->sendNext(now); }

void TableWriter::sendNext(SteadyTime now)
{
    if (this->callOpen || now < this->retryAt)
        return;
    if (this->readBackDue) {
        this->readBack(now);
        return;
    }
    if (this->waiting.empty())
        return;

    Model::TableTransaction transaction;
    for (auto next = this->waiting.begin();
         next != this->waiting.end() && this->inFlight.size() < rowsPerTransaction;) {
        const bool sameRow = std::ranges::any_of(
            this->inFlight, [&](const PendingWrite& write) { return write.change.key == next->second.change.key; });
        if (sameRow) {
            ++next;
            continue;
        }
        const RowChange& change = next->second.change;
        transaction.conditions.push_back({ change.key, change.expected });
        transaction.writes.push_back({ change.key, change.value });
        this->inFlight.push_back(std::move(next->second));
        next = this->waiting.erase(next);
    }
    ++this->blackboard.counters.tableTransactions;
    this->blackboard.counters.tableRowsWritten += transaction.writes.size();
    this->callOpen = true;
    this->outbox.callTable(std::move(transaction), callTimeout,
        [this](const TableAnswer& answer, SteadyTime at) { this->onTransaction(answer, at); });
}

void TableWriter::onTransaction(const TableAnswer& answer, SteadyTime now)
{
    this->callOpen = false;
    if (const auto* committed = std::get_if<Model::TableCommitted>(&answer)) {
        this->settleAll(*committed, now);
    } else if (const auto* conflict = std::get_if<Model::TableConflict>(&answer)) {
        this->settleConflicts(*conflict, now);
    } else if (std::get_if<TableError>(&answer) && std::get<TableError>(answer) == TableError::NotSent) {
        Batch unsent = std::exchange(this->inFlight, {});
        for (PendingWrite& write : unsent)
            this->requeue(std::move(write));
        this->onCallFailed(now);
    } else {
        this->readBackDue = true;
        this->onCallFailed(now);
    }
    this->sendNext(now);
}

void TableWriter::readBack(SteadyTime)
{
    Model::TableRead read;
    for (const PendingWrite& write : this->inFlight)
        read.keys.push_back(write.change.key);
    ++this->blackboard.counters.tableReads;
    this->callOpen = true;
    this->outbox.callTable(std::move(read), callTimeout,
        [this](const TableAnswer& answer, SteadyTime at) { this->onReadBack(answer, at); });
}

void TableWriter::onReadBack(const TableAnswer& answer, SteadyTime now)
{
    this->callOpen = false;
    const auto* rows = std::get_if<Model::TableRows>(&answer);
    if (!rows) {
        this->onCallFailed(now);
        return;
    }
    this->readBackDue = false;
    this->outbox.log(Event::WriteResolved, std::to_string(this->inFlight.size()) + " rows read back");
    std::vector<std::pair<PendingWrite, RowOutcome>> settled;
    Batch unsettled = std::exchange(this->inFlight, {});
    for (PendingWrite& write : unsettled) {
        const TableRow absent { .key = write.change.key };
        const TableRow* row = findRow(rows->rows, write.change.key);
        this->settleFromRow(std::move(write), row ? *row : absent, settled);
    }
    this->onCallSucceeded();
    runContinuations(settled, now);
    this->sendNext(now);
}

void TableWriter::settleFromRow(
    PendingWrite write, const TableRow& row, std::vector<std::pair<PendingWrite, RowOutcome>>& settled)
{
    const bool absent = row.version == 0;
    const bool tookEffect = write.change.value ? !absent && row.value == *write.change.value : absent;
    if (tookEffect) {
        settled.emplace_back(std::move(write), RowWritten { row.version });
        return;
    }
    if (row.version == write.change.expected) {
        write.mayArriveLate = true;
        this->requeue(std::move(write));
        return;
    }
    settled.emplace_back(std::move(write), RowConflict { row });
}

void TableWriter::settleAll(const Model::TableCommitted& committed, SteadyTime now)
{
    std::vector<std::pair<PendingWrite, RowOutcome>> settled;
    Batch batch = std::exchange(this->inFlight, {});
    for (std::size_t index = 0; index < batch.size(); ++index) {
        const Model::RowVersion version = index < committed.versions.size() ? committed.versions[index] : 0;
        settled.emplace_back(std::move(batch[index]), RowWritten { version });
    }
    this->onCallSucceeded();
    runContinuations(settled, now);
}

void TableWriter::settleConflicts(const Model::TableConflict& conflict, SteadyTime now)
{
    std::vector<std::pair<PendingWrite, RowOutcome>> settled;
    Batch batch = std::exchange(this->inFlight, {});
    for (PendingWrite& write : batch) {
        const TableRow* row = findRow(conflict.rows, write.change.key);
        if (row)
            this->settleFromRow(std::move(write), *row, settled);
        else
            this->requeue(std::move(write));
    }
    this->onCallSucceeded();
    runContinuations(settled, now);
}

void TableWriter::runContinuations(const std::vector<std::pair<PendingWrite, RowOutcome>>& settled, SteadyTime now)
{
    for (const auto& [write, outcome] : settled)
        write.done(outcome, now);
}

void TableWriter::requeue(PendingWrite write)
{
    const auto key = std::pair(write.change.priority, write.id);
    this->waiting.emplace(key, std::move(write));
}

void TableWriter::onCallFailed(SteadyTime now)
{
    const std::uint32_t doublings = std::min(this->consecutiveFailures++, maximumDoublings);
    this->retryAt = now + this->random.jittered(std::min(firstRetryDelay * (1U << doublings), maximumRetryDelay));
    if (std::exchange(this->blackboard.tableAvailable, false))
        this->outbox.log(Event::TableUnavailable, std::to_string(this->pending()) + " writes wait");
}

void TableWriter::onCallSucceeded()
{
    this->consecutiveFailures = 0;
    if (!std::exchange(this->blackboard.tableAvailable, true))
        this->outbox.log(Event::TableAvailable, "");
}

} // namespace WisteriaHill::Controllers
