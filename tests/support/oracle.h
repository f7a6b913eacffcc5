/// Invariants of the fleet, checked against what the fakes observed.
#pragma once

#include "model/request.h"
#include "support/serverstate.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace WisteriaHill::Tests {

/// A request as a test sent it.
struct SentRequest {
    Model::CallerId caller = 0;
    std::string body;
    std::string key; ///< idempotency key; empty for an idempotent request
    std::optional<Model::CallerAnswer> answer;
    std::size_t answers = 0;
    bool hostLost = false; ///< the entry host was killed while the caller waited
};

/// Records observations and describes each violated invariant as text. Thread safety: none.
class Oracle {
public:
    explicit Oracle(Duration leasePeriod)
        : leasePeriod(leasePeriod)
    {
    }

    SentRequest& recordRequest(Model::CallerId caller, const std::string& body, const std::string& key);
    void recordAnswer(Model::CallerId caller, const Model::CallerAnswer& answer);
    void recordHostLoss(const std::set<Model::CallerId>& callers);
    /// A backend server began to run a request.
    void recordRun(const std::string& body) { ++this->runs[body]; }
    void recordTaskChange(const TaskChange& change);
    /// A backend server reserved the accelerators of one gang member.
    void recordReservation(std::uint64_t gangToken, const Model::BackendServerId& server);
    void addViolation(std::string what) { this->found.push_back(std::move(what)); }

    /// All violations so far, including those that only the whole history shows.
    std::vector<std::string> violations(SteadyTime now) const;

    std::size_t runCount(const std::string& body) const;
    const std::map<Model::CallerId, SentRequest>& requests() const { return this->sentRequests; }
    std::size_t completed() const;
    /// The longest time that a gang ran with only some of its members.
    Duration longestPartialRun() const { return this->longestPartial; }

private:
    struct GangHistory {
        Model::JobId job;
        std::size_t members = 0;
        std::set<Model::BackendServerId> running;
        std::set<Model::BackendServerId> finished;
        std::optional<SteadyTime> partialSince;
    };

    void checkPartial(GangHistory& gang, SteadyTime at);
    void checkRequests(std::vector<std::string>& all) const;
    void checkKeys(std::vector<std::string>& all) const;

    Duration leasePeriod;
    std::map<Model::CallerId, SentRequest> sentRequests;
    std::map<std::string, std::size_t> runs;
    std::map<std::uint64_t, std::set<Model::BackendServerId>> reserved;
    std::map<std::uint64_t, GangHistory> gangs;
    std::map<Model::JobId, std::set<std::uint64_t>> runningAttempts;
    Duration longestPartial { 0 };
    std::vector<std::string> found;
};

} // namespace WisteriaHill::Tests
