/// The operators' document: edits by compare-and-set, and the highest known revision in force.
#pragma once

#include "controllers/outbox.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace WisteriaHill::Controllers {

/// One section's change by an operator.
struct SectionEdit {
    CallerId caller = 0;
    Model::TeamId team;
    std::string section;
    Utils::Json document;
    Model::RowVersion expectedVersion = 0; ///< zero when the section must not exist yet
    std::string changeId; ///< repeated after a lost answer, it is recognised; must differ between changes
};

/// Thread safety: none.
class ConfigurationController {
public:
    /// `applied` is called after each new revision came into force.
    ConfigurationController(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random,
        std::function<void(SteadyTime)> applied);

    /// Checks and commits an edit; one AnswerDocument effect follows. Precondition: the team owns the section.
    void edit(SectionEdit edit, SteadyTime now);

    /// A copy of the document in force, for a peer.
    Model::ConfigurationCopy copy() const;

    /// Polls for higher revisions.
    void tick(SteadyTime now);

    /// Edits without an answer yet.
    std::size_t openCount() const { return this->openEdits; }

private:
    struct EditInProgress {
        SectionEdit edit;
        std::uint32_t rounds = 0;
    };
    using SharedEdit = std::shared_ptr<EditInProgress>;

    void readForEdit(const SharedEdit& edit);
    void onEditRead(const SharedEdit& edit, const Model::TableAnswer& answer, SteadyTime now);
    void commit(const SharedEdit& edit, const Model::ConfigurationCopy& stored, Model::RowVersion revisionVersion,
        Model::Configuration next);
    void onCommitted(
        const SharedEdit& edit, const Model::TableAnswer& answer, Model::Configuration next, SteadyTime now);
    void onCommitUnknown(const SharedEdit& edit);
    void answer(const SharedEdit& edit, int status, Utils::Json document, std::string entityTag = {});
    void answerUnavailable(const SharedEdit& edit, bool mayHaveTakenEffect);

    void poll();
    void scan();
    void fetchFromPeer(SteadyTime now);
    std::optional<Model::Member> peerWithHighestRevision() const;
    void apply(const Model::ConfigurationCopy& copy, SteadyTime now);
    void activate(Model::Configuration configuration, SteadyTime now);
    Model::Revision revision() const;

    Model::Blackboard& blackboard;
    Outbox& outbox;
    Utils::RandomSource& random;
    std::function<void(SteadyTime)> applied;
    bool callOpen = false;
    SteadyTime nextPoll;
    SteadyTime nextCatchUp;
    Model::Revision rejectedRevision = 0;
    std::size_t openEdits = 0;
};

} // namespace WisteriaHill::Controllers
