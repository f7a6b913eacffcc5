#include "controllers/serverhealthcontroller.h"

#include "controllers/zoneowner.h"

#include <algorithm>
#include <tuple>

namespace WisteriaHill::Controllers {

namespace {

using Model::BackendError;
using Model::BackendServerId;
using Model::ServerView;
using Utils::Event;

constexpr Duration probeInterval { 2500 };
constexpr Duration suspectProbeInterval { 200 };
constexpr Duration probeTimeout { 800 };
constexpr Duration gossipRefresh { 10'000 };
constexpr Duration staleReportAge { 25'000 };
constexpr std::uint32_t failedProbesUntilSilent = 2;

constexpr std::size_t outcomeWindow = 16;
constexpr std::size_t minimumOutcomes = 6;
constexpr double failingShare = 0.5;
constexpr double maximumEjectedShare = 0.34;
constexpr Duration firstEjectionDuration { 5000 };
constexpr std::uint32_t maximumEjectionDoublings = 5;

constexpr double limitIncrease = 0.25;
constexpr double limitDecrease = 0.7;
constexpr Duration busyPause { 20 };

double maximumLimit(const Model::Blackboard& blackboard, const Model::BackendServer& server)
{
    const Model::AvailabilityZone* zone = blackboard.ownZone();
    const std::uint32_t share = zone ? zone->connectionShare(server) : 1;
    return std::max(1U, std::min(share, server.slots));
}

void recordOutcome(ServerView& view, bool succeeded)
{
    view.recentOutcomes.push_back(succeeded);
    if (view.recentOutcomes.size() > outcomeWindow)
        view.recentOutcomes.pop_front();
}

} // namespace

ServerHealthController::ServerHealthController(
    Model::Blackboard& blackboard, Outbox& outbox, Utils::RandomSource& random)
    : blackboard(blackboard)
    , outbox(outbox)
    , random(random)
{
}

void ServerHealthController::configurationChanged(SteadyTime now)
{
    const Model::AvailabilityZone* zone = this->blackboard.ownZone();
    std::map<BackendServerId, ServerView> views;
    if (zone) {
        for (const Model::BackendServer& server : zone->servers) {
            const auto known = this->blackboard.servers.find(server.id);
            ServerView view = known == this->blackboard.servers.end() ? ServerView {} : known->second;
            const bool moved = view.server.address != server.address || view.server.port != server.port;
            if (moved) {
                view = ServerView {};
                view.lastReport = now;
            }
            view.server = server;
            view.concurrencyLimit = moved ? maximumLimit(this->blackboard, server)
                                          : std::min(view.concurrencyLimit, maximumLimit(this->blackboard, server));
            const auto drain = this->blackboard.drains.find(server.id);
            view.drained = drain != this->blackboard.drains.end() && drain->second.drained;
            view.listedLeaving = this->blackboard.listedLeaving.contains(server.id);
            views.emplace(server.id, std::move(view));
        }
    }
    this->blackboard.servers = std::move(views);
    this->updateLayout();
}

void ServerHealthController::updateLayout()
{
    if (!this->blackboard.ownZone())
        return;
    std::set<BackendServerId> unavailable;
    for (const auto& [id, view] : this->blackboard.servers) {
        if (!view.acceptsWork())
            unavailable.insert(id);
    }
    const std::vector<Model::GuaranteeId> before = this->blackboard.layout.uncovered;
    this->blackboard.layout
        = layoutGuarantees(*this->blackboard.configuration, this->blackboard.self.zone, unavailable);
    for (const Model::GuaranteeId& guarantee : this->blackboard.layout.uncovered) {
        if (std::ranges::find(before, guarantee) == before.end())
            this->outbox.log(Event::GuaranteeUncovered, guarantee.value());
    }
}

void ServerHealthController::tick(SteadyTime now)
{
    for (auto& [id, view] : this->blackboard.servers) {
        if (view.ejected && now >= view.ejectedUntil) {
            view.ejected = false;
            view.probation = true;
            this->outbox.log(Event::ServerProbation, id.value());
        }
        if (view.probing)
            continue;
        const bool suspected = view.failedProbes > 0;
        const Duration interval = suspected && !view.silent ? suspectProbeInterval : probeInterval;
        const bool reportStale = now - view.lastReport >= staleReportAge;
        const bool responsible = suspected || reportStale || isZoneOwner(this->blackboard, id.value());
        if (responsible && now - view.lastDirectReport >= interval)
            this->probe(view, now);
    }
}

void ServerHealthController::probe(ServerView& view, SteadyTime now)
{
    view.probing = true;
    view.lastDirectReport = now;
    ++this->blackboard.counters.probesSent;
    this->outbox.sendLeaseBatch(
        view.server, {}, probeTimeout, [this, id = view.server.id](const LeaseBatchResult& result, SteadyTime at) {
            const auto found = this->blackboard.servers.find(id);
            if (found != this->blackboard.servers.end())
                found->second.probing = false;
            this->leaseBatchEnded(id, result, at);
        });
}

void ServerHealthController::leaseBatchEnded(
    const BackendServerId& server, const LeaseBatchResult& result, SteadyTime now)
{
    const auto found = this->blackboard.servers.find(server);
    if (found == this->blackboard.servers.end())
        return;
    if (const auto* answer = std::get_if<Model::LeaseBatchAnswer>(&result))
        this->applyReport(found->second, answer->report, now);
    else
        this->recordNoAnswer(found->second, now);
}

void ServerHealthController::applyReport(ServerView& view, const Model::ServerReport& report, SteadyTime now)
{
    this->recordIncarnation(view, report.incarnation);
    this->recordLeaving(view, report.leaving);
    if (view.free != report.free || view.preemptible != report.preemptible)
        this->markChanged(view);
    view.free = report.free;
    view.preemptible = report.preemptible;
    view.busySlots = report.busySlots;
    this->recordAnswer(view, now);
}

void ServerHealthController::recordIncarnation(ServerView& view, Model::Incarnation incarnation)
{
    if (view.incarnation == incarnation)
        return;
    if (view.incarnation != 0)
        this->outbox.log(Event::ServerRestarted, view.server.id.value());
    view.incarnation = incarnation;
    view.leaving = false;
    this->markChanged(view);
    this->updateLayout();
}

void ServerHealthController::recordLeaving(ServerView& view, bool leaving)
{
    // Only a new incarnation clears `leaving`, so that an old answer that arrives late does not bring new work to the
    // server.
    if (!leaving || view.leaving)
        return;
    view.leaving = true;
    this->outbox.log(Event::ServerLeaving, view.server.id.value());
    this->markChanged(view);
    this->urgentUpdate = true;
    this->updateLayout();
}

void ServerHealthController::recordAnswer(ServerView& view, SteadyTime now)
{
    view.lastDirectReport = now;
    view.lastReport = now;
    view.failedProbes = 0;
    if (!std::exchange(view.silent, false))
        return;
    this->outbox.log(Event::ServerAnswering, view.server.id.value());
    this->markChanged(view);
    this->updateLayout();
}

void ServerHealthController::recordNoAnswer(ServerView& view, SteadyTime now)
{
    view.lastDirectReport = now;
    if (++view.failedProbes < failedProbesUntilSilent || view.silent)
        return;
    view.silent = true;
    this->outbox.log(Event::ServerSilent, view.server.id.value());
    this->markChanged(view);
    this->urgentUpdate = true;
    this->updateLayout();
}

void ServerHealthController::requestEnded(const BackendServerId& server, const RunResult& result, SteadyTime now)
{
    const auto found = this->blackboard.servers.find(server);
    if (found == this->blackboard.servers.end())
        return;
    ServerView& view = found->second;
    if (view.inFlight > 0)
        --view.inFlight;

    if (const auto* answer = std::get_if<Model::RunAnswer>(&result)) {
        view.concurrencyLimit
            = std::min(view.concurrencyLimit + limitIncrease, maximumLimit(this->blackboard, view.server));
        if (answer->busySlots)
            view.busySlots = *answer->busySlots;
        this->recordLeaving(view, answer->leaving);
        this->recordAnswer(view, now);
        return;
    }
    switch (std::get<BackendError>(result)) {
    case BackendError::Busy:
        view.concurrencyLimit = std::max(1.0, view.concurrencyLimit * limitDecrease);
        view.busyUntil = now + this->random.jittered(busyPause);
        this->recordAnswer(view, now);
        break;
    case BackendError::Leaving:
        this->recordLeaving(view, true);
        break;
    case BackendError::NotSent:
        this->recordNoAnswer(view, now);
        break;
    case BackendError::TimedOut:
    case BackendError::Truncated:
        // Only a probe on a new connection can distinguish a dead server from a dead connection.
        if (!view.probing)
            this->probe(view, now);
        break;
    case BackendError::Failed:
    case BackendError::Oversized:
    case BackendError::Malformed:
        break;
    }
}

void ServerHealthController::recordSuccess(const BackendServerId& server, SteadyTime)
{
    const auto found = this->blackboard.servers.find(server);
    if (found == this->blackboard.servers.end())
        return;
    ServerView& view = found->second;
    if (std::exchange(view.probation, false)) {
        view.ejections = 0;
        view.recentOutcomes.clear();
        this->outbox.log(Event::ServerReinstated, server.value());
    }
    recordOutcome(view, true);
}

void ServerHealthController::recordFailure(const BackendServerId& server, SteadyTime now)
{
    const auto found = this->blackboard.servers.find(server);
    if (found == this->blackboard.servers.end())
        return;
    ServerView& view = found->second;
    recordOutcome(view, false);
    if (view.ejected)
        return;
    if (view.probation) {
        this->eject(view, now);
        return;
    }
    const auto failures = static_cast<double>(std::ranges::count(view.recentOutcomes, false));
    const bool failing = view.recentOutcomes.size() >= minimumOutcomes
        && failures > failingShare * static_cast<double>(view.recentOutcomes.size());
    if (failing && this->mayEjectAnother())
        this->eject(view, now);
}

bool ServerHealthController::mayEjectAnother() const
{
    const auto ejected = std::ranges::count_if(
        this->blackboard.servers, [](const auto& entry) { return entry.second.ejected || entry.second.probation; });
    return static_cast<double>(ejected + 1)
        <= maximumEjectedShare * static_cast<double>(this->blackboard.servers.size());
}

void ServerHealthController::eject(ServerView& view, SteadyTime now)
{
    const std::uint32_t doublings = std::min(view.ejections++, maximumEjectionDoublings);
    view.ejected = true;
    view.probation = false;
    view.ejectedUntil = now + this->random.jittered(firstEjectionDuration * (1U << doublings));
    this->outbox.log(Event::ServerEjected, view.server.id.value());
}

void ServerHealthController::digestReceived(const Model::ServerDigest& digest, SteadyTime now)
{
    const auto found = this->blackboard.servers.find(digest.server);
    if (found == this->blackboard.servers.end())
        return;
    ServerView& view = found->second;
    const bool otherIncarnation = view.incarnation != 0 && view.incarnation != digest.incarnation;
    const bool ownReportNewer = now - view.lastDirectReport < probeInterval && view.lastDirectReport != SteadyTime {};
    if (otherIncarnation && ownReportNewer)
        return;
    this->recordIncarnation(view, digest.incarnation);
    this->recordLeaving(view, digest.leaving);
    view.lastReport = now;
    if (ownReportNewer)
        return;
    view.free = digest.free;
    view.preemptible = digest.preemptible;
    view.busySlots = digest.busySlots;
    if (view.silent != digest.silent) {
        view.silent = digest.silent;
        view.failedProbes = 0;
        this->outbox.log(view.silent ? Event::ServerSilent : Event::ServerAnswering, view.server.id.value());
        this->updateLayout();
    }
}

bool ServerHealthController::mergeDrain(const Model::DrainMark& mark, SteadyTime)
{
    this->drainCounter = std::max(this->drainCounter, mark.counter);
    const auto known = this->blackboard.drains.find(mark.server);
    const bool older = known != this->blackboard.drains.end()
        && std::tie(mark.counter, mark.tieBreaker) <= std::tie(known->second.counter, known->second.tieBreaker);
    if (older)
        return false;
    this->blackboard.drains[mark.server] = mark;
    const auto view = this->blackboard.servers.find(mark.server);
    if (view != this->blackboard.servers.end() && view->second.drained != mark.drained) {
        view->second.drained = mark.drained;
        this->outbox.log(mark.drained ? Event::ServerDrained : Event::ServerUndrained, mark.server.value());
        this->updateLayout();
    }
    this->urgentUpdate = true;
    return true;
}

void ServerHealthController::setDrained(const BackendServerId& server, bool drained, SteadyTime now)
{
    this->mergeDrain({ .server = server,
                         .drained = drained,
                         .counter = this->drainCounter + 1,
                         .tieBreaker = this->blackboard.self.incarnation },
        now);
}

void ServerHealthController::hostListReceived(const std::vector<ListedHost>& hosts, SteadyTime)
{
    std::set<BackendServerId> leaving;
    for (const ListedHost& host : hosts) {
        if (host.kind == ListedHost::Kind::BackendServer && host.leaving)
            leaving.insert(BackendServerId(host.id));
    }
    if (leaving == this->blackboard.listedLeaving)
        return;
    this->blackboard.listedLeaving = std::move(leaving);
    for (auto& [id, view] : this->blackboard.servers) {
        const bool listed = this->blackboard.listedLeaving.contains(id);
        if (listed && !view.listedLeaving)
            this->outbox.log(Event::ServerLeaving, id.value() + " by the platform's list");
        view.listedLeaving = listed;
    }
    this->updateLayout();
}

void ServerHealthController::markChanged(const ServerView& view) { this->changed.insert(view.server.id); }

std::vector<Model::ServerDigest> ServerHealthController::takeDigests(SteadyTime now)
{
    std::vector<Model::ServerDigest> digests;
    for (const auto& [id, view] : this->blackboard.servers) {
        SteadyTime& last = this->lastGossiped[id];
        const bool reportedDirectly = view.incarnation != 0 && now - view.lastDirectReport < 2 * probeInterval;
        const bool due = this->changed.contains(id) || now - last >= gossipRefresh;
        if (!reportedDirectly || !due)
            continue;
        last = now;
        digests.push_back({ .server = id,
            .incarnation = view.incarnation,
            .leaving = view.leaving,
            .silent = view.silent,
            .busySlots = static_cast<std::uint16_t>(view.busySlots),
            .free = view.free,
            .preemptible = view.preemptible });
    }
    this->changed.clear();
    return digests;
}

} // namespace WisteriaHill::Controllers
