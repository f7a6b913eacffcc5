#include "controllers/claimcontroller.h"

#include "utils/digest.h"

namespace WisteriaHill::Controllers {

namespace {

using Utils::Event;

std::string requestDigest(const Model::CallerRequest& request)
{
    return Utils::sha256Hex(request.service.value() + "\n" + request.body);
}

bool isLive(const Model::Blackboard& blackboard, const Model::RequestClaim& claim)
{
    if (claim.claimant == blackboard.self.host)
        return claim.claimantIncarnation == blackboard.self.incarnation;
    const auto member = blackboard.members.find(claim.claimant);
    return member != blackboard.members.end() && member->second.live
        && member->second.incarnation == claim.claimantIncarnation;
}

} // namespace

ClaimController::ClaimController(
    Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random)
    : blackboard(blackboard)
    , outbox(outbox)
    , writer(writer)
    , random(random)
{
}

void ClaimController::claim(
    std::uint64_t request, const Model::CallerRequest& callerRequest, Continuation<ClaimDecision> done, SteadyTime now)
{
    OpenClaim& open = this->claims[request];
    open.rowKey = Model::claimRowKey(callerRequest.account, callerRequest.idempotencyKey);
    open.claim = { .digest = requestDigest(callerRequest),
        .claimant = this->blackboard.self.host,
        .claimantIncarnation = this->blackboard.self.incarnation,
        .nonce = this->random.bits() };
    open.done = std::move(done);
    RowChange change {
        .key = open.rowKey, .expected = 0, .value = Model::claimToText(open.claim), .priority = WritePriority::Claim
    };
    open.insertion = this->writer.write(
        std::move(change),
        [this, request](const RowOutcome& outcome, SteadyTime at) { this->onInserted(request, outcome, at); }, now);
}

void ClaimController::onInserted(std::uint64_t request, const RowOutcome& outcome, SteadyTime now)
{
    const auto found = this->claims.find(request);
    if (found == this->claims.end())
        return;
    OpenClaim& open = found->second;
    if (const auto* written = std::get_if<RowWritten>(&outcome)) {
        open.version = written->version;
        if (open.abandoned) {
            this->release(request, now);
            return;
        }
        const Continuation<ClaimDecision> done = std::exchange(open.done, {});
        done(ClaimGranted {}, now);
        return;
    }
    const OpenClaim own = std::move(open);
    this->claims.erase(found);
    if (!own.abandoned)
        own.done(this->decide(own, std::get<RowConflict>(outcome).current), now);
}

ClaimDecision ClaimController::decide(const OpenClaim& own, const Model::TableRow& row)
{
    const std::optional<Model::RequestClaim> claim = Model::claimFromText(row.value);
    if (!claim)
        return row.version == 0 ? ClaimDecision(ClaimInProgress {}) : ClaimDecision(ClaimUnresolved {});
    if (claim->digest != own.claim.digest)
        return ClaimMismatch {};
    if (claim->result)
        return ClaimReplay { *claim->result };
    if (isLive(this->blackboard, *claim))
        return ClaimInProgress {};
    this->outbox.log(Event::ClaimUnresolved, own.rowKey + " claimant " + claim->claimant.value());
    return ClaimUnresolved {};
}

void ClaimController::abandon(std::uint64_t request, SteadyTime now)
{
    const auto found = this->claims.find(request);
    if (found == this->claims.end())
        return;
    OpenClaim& open = found->second;
    open.abandoned = true;
    open.done = {};
    if (open.version != 0) {
        this->release(request, now);
        return;
    }
    if (this->writer.cancel(open.insertion))
        this->claims.erase(found);
}

void ClaimController::release(std::uint64_t request, SteadyTime now)
{
    const OpenClaim& open = this->claims.at(request);
    RowChange change { .key = open.rowKey, .expected = open.version, .priority = WritePriority::Claim };
    this->writer.write(
        std::move(change),
        [this, request, key = open.rowKey](const RowOutcome&, SteadyTime) {
            this->claims.erase(request);
            this->outbox.log(Event::ClaimReleased, key);
        },
        now);
}

void ClaimController::storeResult(std::uint64_t request, const Model::CallerAnswer& answer, SteadyTime now)
{
    const auto found = this->claims.find(request);
    if (found == this->claims.end())
        return;
    OpenClaim& open = found->second;
    open.claim.result = answer;
    RowChange change { .key = open.rowKey,
        .expected = open.version,
        .value = Model::claimToText(open.claim),
        .priority = WritePriority::Claim };
    this->writer.write(
        std::move(change), [this, request](const RowOutcome&, SteadyTime) { this->claims.erase(request); }, now);
}

} // namespace WisteriaHill::Controllers
