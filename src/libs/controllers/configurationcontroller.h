/// Manages the operators' document: commits edits by compare-and-set, and puts the highest known
/// revision in force.
#pragma once

#include "controllers/outbox.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace WisteriaHill::Controllers {

/// An operator's change of one section.
struct SectionEdit {
    CallerId caller = 0;
    Model::TeamId team;
    std::string section;
    Utils::Json document;
    Model::RowVersion expectedVersion = 0; ///< zero when the section must not exist yet
    std::string changeId; ///< unique per change, so that an edit repeated after a lost answer is recognised
};

/// Thread safety: none.
class ConfigurationController {
public:
    /// `applied` is called each time after a new revision came into force.
    ConfigurationController(Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random,
        std::function<void(SteadyTime)> applied);

    /// Validates and commits an edit; one AnswerDocument effect follows. Precondition: the team owns the section.
    void edit(SectionEdit edit, SteadyTime now);

    /// A copy of the document in force, for a peer. Its revision is zero if there is none.
    Model::ConfigurationCopy copy() const;

    /// Polls the table service, and if need be a peer, for higher revisions.
    void tick(SteadyTime now);

    /// The number of edits without an answer.
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
    Model::Revision rejectedRevision = 0; ///< the last revision that failed validation; it is not applied again
    std::size_t openEdits = 0;
};

} // namespace WisteriaHill::Controllers
