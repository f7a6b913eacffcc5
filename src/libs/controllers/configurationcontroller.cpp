#include "controllers/configurationcontroller.h"

#include "utils/httpstatus.h"

#include <algorithm>

namespace WisteriaHill::Controllers {

namespace {

using Model::ConfigurationCopy;
using Model::Revision;
using Model::TableAnswer;
using Model::TableRow;
using Utils::Event;
using Utils::Json;

constexpr std::string_view rowPrefix = "configuration/";
constexpr std::string_view sectionPrefix = "configuration/section/";
constexpr std::string_view revisionKey = "configuration/revision";

constexpr Duration pollInterval { 2000 };
constexpr Duration catchUpInterval { 250 };
constexpr Duration tableTimeout { 1500 };
constexpr Duration peerTimeout { 1000 };
constexpr Duration editRetryAfter { 1000 };
constexpr std::uint32_t maximumEditRounds = 8;

/// The document as read by one scan.
struct StoredDocument {
    ConfigurationCopy copy;
    Model::RowVersion revisionVersion = 0;
    std::map<std::string, std::string> changeIds; ///< the change id of the latest edit, by section
    bool readable = true;
};

StoredDocument documentFromRows(const std::vector<TableRow>& rows)
{
    StoredDocument stored;
    for (const TableRow& row : rows) {
        const Json json = Json::parse(row.value, nullptr, false);
        if (json.is_discarded()) {
            stored.readable = false;
        } else if (row.key == revisionKey) {
            stored.copy.revision = json.value("revision", Revision { 0 });
            stored.revisionVersion = row.version;
        } else if (row.key.starts_with(sectionPrefix)) {
            const std::string section = row.key.substr(sectionPrefix.size());
            stored.copy.sections[section] = { json.value("document", Json::object()).dump(), row.version };
            stored.changeIds[section] = json.value("changeId", "");
        }
    }
    return stored;
}

Utils::Result<Model::Configuration, Utils::JsonFaults> parseCopy(const ConfigurationCopy& copy)
{
    Model::SectionDocuments documents;
    for (const auto& [name, section] : copy.sections) {
        Json document = Json::parse(section.document, nullptr, false);
        if (document.is_discarded())
            return Utils::JsonFaults { { "/" + name, "is not JSON" } };
        documents.emplace(name, std::move(document));
    }
    auto result = Model::parseConfiguration(documents);
    if (auto* configuration = std::get_if<Model::Configuration>(&result)) {
        configuration->revision = copy.revision;
        for (const auto& [name, section] : copy.sections)
            configuration->versions[name] = section.version;
    }
    return result;
}

Json faultsToJson(const Utils::JsonFaults& faults)
{
    Json list = Json::array();
    for (const Utils::JsonFault& fault : faults)
        list.push_back({ { "path", fault.path }, { "reason", fault.reason } });
    return list;
}

} // namespace

ConfigurationController::ConfigurationController(
    Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random, std::function<void(SteadyTime)> applied)
    : blackboard(blackboard)
    , outbox(outbox)
    , random(random)
    , applied(std::move(applied))
{
}

Revision ConfigurationController::revision() const
{
    return this->blackboard.configuration ? this->blackboard.configuration->revision : 0;
}

void ConfigurationController::edit(SectionEdit edit, SteadyTime)
{
    ++this->openEdits;
    auto progress = std::make_shared<EditInProgress>();
    progress->edit = std::move(edit);
    this->readForEdit(progress);
}

void ConfigurationController::readForEdit(const SharedEdit& edit)
{
    if (++edit->rounds > maximumEditRounds) {
        this->answerUnavailable(edit, false);
        return;
    }
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableScan { .prefix = std::string(rowPrefix) }, tableTimeout,
        [this, edit](const TableAnswer& answer, SteadyTime now) { this->onEditRead(edit, answer, now); });
}

void ConfigurationController::onEditRead(const SharedEdit& edit, const TableAnswer& answer, SteadyTime now)
{
    const auto* rows = std::get_if<Model::TableRows>(&answer);
    if (!rows) {
        this->answerUnavailable(edit, false);
        return;
    }
    StoredDocument stored = documentFromRows(rows->rows);
    const std::string& section = edit->edit.section;
    const Model::RowVersion present = stored.copy.sections[section].version;
    if (present != 0 && stored.changeIds[section] == edit->edit.changeId) {
        this->apply(stored.copy, now);
        this->answer(edit, Utils::HttpStatus::ok, { { "revision", stored.copy.revision }, { "version", present } },
            std::to_string(present));
        return;
    }
    if (present != edit->edit.expectedVersion) {
        this->outbox.log(Event::ConfigurationConflict, section + " by team " + edit->edit.team.value());
        const Json current = present == 0 ? Json() : Json::parse(stored.copy.sections[section].document);
        this->answer(edit, Utils::HttpStatus::conflict,
            { { "error", "the section was changed by another edit; read it and try again" },
                { "expectedVersion", edit->edit.expectedVersion }, { "presentVersion", present },
                { "presentDocument", current } },
            std::to_string(present));
        return;
    }

    ConfigurationCopy proposed = stored.copy;
    proposed.sections[section].document = edit->edit.document.dump();
    proposed.revision = stored.copy.revision + 1;
    auto checked = parseCopy(proposed);
    if (const auto* faults = std::get_if<Utils::JsonFaults>(&checked)) {
        this->answer(edit, Utils::HttpStatus::unprocessable,
            { { "error", "the document is not valid" }, { "faults", faultsToJson(*faults) } });
        return;
    }
    this->commit(edit, stored.copy, stored.revisionVersion, std::get<Model::Configuration>(std::move(checked)));
}

void ConfigurationController::commit(const SharedEdit& edit, const ConfigurationCopy& stored,
    Model::RowVersion revisionVersion, Model::Configuration next)
{
    const std::string sectionKey = std::string(sectionPrefix) + edit->edit.section;
    const auto section = stored.sections.find(edit->edit.section);
    const Model::RowVersion sectionVersion = section == stored.sections.end() ? 0 : section->second.version;
    const Json row { { "changeId", edit->edit.changeId }, { "team", edit->edit.team },
        { "document", edit->edit.document } };
    Model::TableTransaction transaction {
        .conditions = { { sectionKey, sectionVersion }, { std::string(revisionKey), revisionVersion } },
        .writes = { { sectionKey, row.dump() },
            { std::string(revisionKey),
                Json { { "revision", next.revision }, { "changeId", edit->edit.changeId } }.dump() } },
    };
    ++this->blackboard.counters.tableTransactions;
    this->blackboard.counters.tableRowsWritten += transaction.writes.size();
    this->outbox.callTable(std::move(transaction), tableTimeout,
        [this, edit, next = std::move(next)](
            const TableAnswer& answer, SteadyTime now) { this->onCommitted(edit, answer, next, now); });
}

void ConfigurationController::onCommitted(
    const SharedEdit& edit, const TableAnswer& answer, Model::Configuration next, SteadyTime now)
{
    if (const auto* committed = std::get_if<Model::TableCommitted>(&answer)) {
        const Model::RowVersion version = committed->versions.empty() ? 0 : committed->versions.front();
        next.versions[edit->edit.section] = version;
        const Revision revision = next.revision;
        this->outbox.log(Event::ConfigurationEdited,
            edit->edit.section + " by team " + edit->edit.team.value() + ", revision " + std::to_string(revision));
        this->activate(std::move(next), now);
        this->answer(
            edit, Utils::HttpStatus::ok, { { "revision", revision }, { "version", version } }, std::to_string(version));
        return;
    }
    const auto* error = std::get_if<Model::TableError>(&answer);
    if (error && *error == Model::TableError::Unknown) {
        this->onCommitUnknown(edit);
        return;
    }
    if (error) {
        this->answerUnavailable(edit, false);
        return;
    }
    this->readForEdit(edit);
}

void ConfigurationController::onCommitUnknown(const SharedEdit& edit)
{
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableScan { .prefix = std::string(rowPrefix) }, tableTimeout,
        [this, edit](const TableAnswer& answer, SteadyTime now) {
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            StoredDocument stored = rows ? documentFromRows(rows->rows) : StoredDocument {};
            if (stored.changeIds[edit->edit.section] == edit->edit.changeId) {
                this->outbox.log(Event::WriteResolved, "edit of " + edit->edit.section);
                this->onEditRead(edit, answer, now);
                return;
            }
            this->answerUnavailable(edit, true);
        });
}

void ConfigurationController::answer(const SharedEdit& edit, int status, Json document, std::string entityTag)
{
    --this->openEdits;
    this->outbox.add(AnswerDocument { .caller = edit->edit.caller,
        .status = status,
        .document = std::move(document),
        .entityTag = std::move(entityTag) });
}

void ConfigurationController::answerUnavailable(const SharedEdit& edit, bool mayHaveTakenEffect)
{
    --this->openEdits;
    const char* outcome = mayHaveTakenEffect ? "unknown" : "notRun";
    this->outbox.add(AnswerDocument { .caller = edit->edit.caller,
        .status = mayHaveTakenEffect ? Utils::HttpStatus::gatewayTimeout : Utils::HttpStatus::unavailable,
        .document = { { "error", "the table service did not answer; send the edit again with the same change id" },
            { "outcome", outcome } },
        .retryAfter = this->random.jittered(editRetryAfter) });
}

ConfigurationCopy ConfigurationController::copy() const
{
    ConfigurationCopy copy;
    if (!this->blackboard.configuration)
        return copy;
    copy.revision = this->blackboard.configuration->revision;
    for (const auto& [name, document] : this->blackboard.configuration->documents)
        copy.sections[name] = { document.dump(), this->blackboard.configuration->versions.at(name) };
    return copy;
}

void ConfigurationController::tick(SteadyTime now)
{
    if (this->callOpen)
        return;
    const std::optional<Model::Member> peer = this->peerWithHighestRevision();
    const bool behind = !this->blackboard.configuration || (peer && peer->revision > this->revision());
    if (behind && now >= this->nextCatchUp) {
        this->nextCatchUp = now + this->random.jittered(catchUpInterval);
        this->scan();
        return;
    }
    if (now >= this->nextPoll) {
        this->nextPoll = now + this->random.jittered(pollInterval);
        this->poll();
    }
}

void ConfigurationController::poll()
{
    this->callOpen = true;
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableRead { .keys = { std::string(revisionKey) } }, tableTimeout,
        [this](const TableAnswer& answer, SteadyTime) {
            this->callOpen = false;
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            if (!rows
                || documentFromRows(rows->rows).copy.revision <= std::max(this->revision(), this->rejectedRevision))
                return;
            this->scan();
        });
}

void ConfigurationController::scan()
{
    this->callOpen = true;
    ++this->blackboard.counters.tableReads;
    this->outbox.callTable(Model::TableScan { .prefix = std::string(rowPrefix) }, tableTimeout,
        [this](const TableAnswer& answer, SteadyTime now) {
            this->callOpen = false;
            const auto* rows = std::get_if<Model::TableRows>(&answer);
            const StoredDocument stored = rows ? documentFromRows(rows->rows) : StoredDocument { .readable = false };
            if (stored.readable && stored.copy.revision > this->revision()) {
                this->apply(stored.copy, now);
                return;
            }
            this->fetchFromPeer(now);
        });
}

std::optional<Model::Member> ConfigurationController::peerWithHighestRevision() const
{
    std::optional<Model::Member> best;
    for (const auto& [host, member] : this->blackboard.members) {
        const bool usable = member.live && member.revision > this->rejectedRevision;
        if (usable && (!best || member.revision > best->revision))
            best = member;
    }
    return best;
}

void ConfigurationController::fetchFromPeer(SteadyTime)
{
    const std::optional<Model::Member> peer = this->peerWithHighestRevision();
    if (!peer || peer->revision <= this->revision())
        return;
    this->callOpen = true;
    this->outbox.callPeer(
        peer->address, Model::FetchConfiguration {}, peerTimeout, [this](const PeerResult& result, SteadyTime now) {
            this->callOpen = false;
            const auto* reply = std::get_if<Model::PeerReply>(&result);
            const auto* copy = reply ? std::get_if<ConfigurationCopy>(reply) : nullptr;
            if (copy)
                this->apply(*copy, now);
        });
}

void ConfigurationController::apply(const ConfigurationCopy& copy, SteadyTime now)
{
    if (copy.revision <= this->revision() || copy.revision <= this->rejectedRevision)
        return;
    auto result = parseCopy(copy);
    if (const auto* faults = std::get_if<Utils::JsonFaults>(&result)) {
        this->rejectedRevision = copy.revision;
        this->outbox.log(Event::ConfigurationRejected, Utils::formatFaults(*faults));
        return;
    }
    this->activate(std::get<Model::Configuration>(std::move(result)), now);
}

void ConfigurationController::activate(Model::Configuration configuration, SteadyTime now)
{
    if (configuration.revision <= this->revision())
        return;
    this->blackboard.configuration = std::make_shared<const Model::Configuration>(std::move(configuration));
    this->outbox.log(Event::ConfigurationApplied, "revision " + std::to_string(this->revision()));
    this->applied(now);
}

} // namespace WisteriaHill::Controllers
