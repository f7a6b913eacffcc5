#include "support/oracle.h"

namespace WisteriaHill::Tests {

using Model::Outcome;

SentRequest& Oracle::recordRequest(Model::CallerId caller, const std::string& body, const std::string& key)
{
    return this->sentRequests[caller] = { .caller = caller, .body = body, .key = key };
}

void Oracle::recordAnswer(Model::CallerId caller, const Model::CallerAnswer& answer)
{
    const auto found = this->sentRequests.find(caller);
    if (found == this->sentRequests.end()) {
        this->addViolation("an answer to caller " + std::to_string(caller) + ", which sent no request");
        return;
    }
    SentRequest& request = found->second;
    ++request.answers;
    request.answer = answer;
    if (answer.outcome == Outcome::Completed && answer.body != "answer to " + request.body)
        this->addViolation("a caller got the answer of another request: " + answer.body + " for " + request.body);
    const bool refusal = answer.outcome == Outcome::NotRun && answer.status >= 500;
    if (refusal && !answer.retryAfter)
        this->addViolation("a refusal without a time to retry after: " + answer.reason);
}

void Oracle::recordHostLoss(const std::set<Model::CallerId>& callers)
{
    for (const Model::CallerId caller : callers) {
        const auto found = this->sentRequests.find(caller);
        if (found != this->sentRequests.end())
            found->second.hostLost = true;
    }
}

void Oracle::recordReservation(std::uint64_t gangToken, const Model::BackendServerId& server)
{
    this->reserved[gangToken].insert(server);
}

void Oracle::recordTaskChange(const TaskChange& change)
{
    GangHistory& gang = this->gangs[change.gangToken];
    gang.job = change.job;
    gang.members = change.members;
    std::set<std::uint64_t>& attempts = this->runningAttempts[change.job];
    if (change.running) {
        if (this->reserved[change.gangToken].size() < change.members)
            this->addViolation("a member of " + change.job.value() + " started before all were reserved");
        gang.running.insert(change.server);
        attempts.insert(change.gangToken);
        if (attempts.size() > 1)
            this->addViolation("two attempts of " + change.job.value() + " ran at once");
    } else {
        gang.running.erase(change.server);
        if (change.finished)
            gang.finished.insert(change.server);
        if (gang.running.empty())
            attempts.erase(change.gangToken);
    }
    this->checkPartial(gang, change.at);
}

void Oracle::checkPartial(GangHistory& gang, SteadyTime at)
{
    const bool partial = !gang.running.empty() && gang.running.size() + gang.finished.size() < gang.members;
    if (partial) {
        if (!gang.partialSince)
            gang.partialSince = at;
        return;
    }
    if (!gang.partialSince)
        return;
    const auto lasted = std::chrono::duration_cast<Duration>(at - *gang.partialSince);
    gang.partialSince.reset();
    this->longestPartial = std::max(this->longestPartial, lasted);
    if (lasted > this->leasePeriod)
        this->addViolation(gang.job.value() + " ran with only some of its members for " + std::to_string(lasted.count())
            + " ms, the bound is " + std::to_string(this->leasePeriod.count()) + " ms");
}

std::size_t Oracle::runCount(const std::string& body) const
{
    const auto found = this->runs.find(body);
    return found == this->runs.end() ? 0 : found->second;
}

std::size_t Oracle::completed() const
{
    std::size_t count = 0;
    for (const auto& [caller, request] : this->sentRequests)
        count += request.answer && request.answer->outcome == Outcome::Completed ? 1 : 0;
    return count;
}

void Oracle::checkRequests(std::vector<std::string>& all) const
{
    for (const auto& [caller, request] : this->sentRequests) {
        if (request.answers > 1)
            all.push_back("a caller got " + std::to_string(request.answers) + " answers: " + request.body);
        if (request.answers == 0 && !request.hostLost)
            all.push_back("a caller got no answer: " + request.body);
        if (!request.key.empty() || !request.answer)
            continue;
        const std::size_t count = this->runCount(request.body);
        if (request.answer->outcome == Outcome::NotRun && count > 0)
            all.push_back("a request refused as not run was run: " + request.body + ": " + request.answer->reason);
        if (request.answer->outcome == Outcome::Completed && count == 0)
            all.push_back("a request answered as completed was never run: " + request.body);
    }
}

void Oracle::checkKeys(std::vector<std::string>& all) const
{
    std::map<std::string, std::vector<const SentRequest*>> byBody;
    for (const auto& [caller, request] : this->sentRequests) {
        if (!request.key.empty())
            byBody[request.body].push_back(&request);
    }
    for (const auto& [body, requests] : byBody) {
        const std::size_t count = this->runCount(body);
        if (count > 1)
            all.push_back("a non-idempotent request ran " + std::to_string(count) + " times: " + body);
        bool allNotRun = true;
        for (const SentRequest* request : requests) {
            allNotRun = allNotRun && request->answer && request->answer->outcome == Outcome::NotRun;
            const bool completed = request->answer && request->answer->outcome == Outcome::Completed;
            if (completed && count == 0)
                all.push_back("a non-idempotent request answered as completed was never run: " + body);
        }
        if (allNotRun && count > 0)
            all.push_back("a non-idempotent request refused as not run was run: " + body);
    }
}

std::vector<std::string> Oracle::violations(SteadyTime now) const
{
    std::vector<std::string> all = this->found;
    this->checkRequests(all);
    this->checkKeys(all);
    for (const auto& [token, gang] : this->gangs) {
        if (gang.partialSince && now - *gang.partialSince > this->leasePeriod)
            all.push_back(gang.job.value() + " still runs with only some of its members");
    }
    return all;
}

} // namespace WisteriaHill::Tests
