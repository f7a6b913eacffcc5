#include "scheduling/configcheck/configcheck.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace WisteriaHill::Scheduling::ConfigCheck {

namespace {

constexpr std::size_t jobIdLength = 16;
constexpr std::size_t smallestUsefulBody = 4000; ///< a job's payload may have so many bytes

/// Collects the findings of one configuration.
class Checker {
public:
    Checker(const FleetConfiguration& configuration, const KnownAccelerators& accelerators)
        : configuration(configuration)
        , accelerators(accelerators)
    {
    }

    std::vector<Finding> run()
    {
        this->checkDocument();
        for (std::size_t entry = 0; entry < this->configuration.queues.size(); ++entry)
            this->checkQueue(entry, this->configuration.queues[entry]);
        for (std::size_t entry = 0; entry < this->configuration.services.size(); ++entry)
            this->checkService(entry, this->configuration.services[entry]);
        for (std::size_t entry = 0; entry < this->configuration.accounts.size(); ++entry)
            this->checkAccount(entry, this->configuration.accounts[entry]);
        this->checkGuarantees();
        return std::move(this->findings);
    }

private:
    void add(Severity severity, Place place, std::string reason)
    {
        this->findings.push_back({ .severity = severity, .place = place, .reason = std::move(reason) });
    }

    void checkDocument()
    {
        const auto& [version, queues, services, accounts, maximumBody] = this->configuration;
        if (version <= 0)
            this->add(Severity::Error, { .member = Member::Version }, "must be at least 1");
        if (queues.empty())
            this->add(Severity::Error, { .section = Section::Queues }, "there is no queue; every call is refused");
        if (maximumBody < smallestUsefulBody)
            this->add(Severity::Warning, { .member = Member::MaximumBody },
                "jobs with a payload of more than " + std::to_string(maximumBody) + " bytes are refused");
        const bool anyKey = std::ranges::any_of(accounts, [](const auto& account) { return !account.keys.empty(); });
        const bool anyAnonymous = std::ranges::any_of(queues, &Queue::anonymous);
        if (!queues.empty() && !anyKey && !anyAnonymous)
            this->add(Severity::Error, { .section = Section::Accounts },
                "no account has a key and every queue needs one; every call is refused");
    }

    void checkQueue(std::size_t entry, const Queue& queue)
    {
        const auto at = [entry](Member member) { return Place { Section::Queues, entry, member }; };
        this->checkAddress(entry, queue);
        const Service* service = this->configuration.findService(queue.service);
        if (!service)
            this->add(Severity::Error, at(Member::Service), "there is no service '" + queue.service + "'");
        else if (service->standby)
            this->add(Severity::Warning, at(Member::Service),
                "the machines of '" + queue.service + "' are off; jobs wait until some are moved to it");
        if (queue.priority < 0)
            this->add(Severity::Error, at(Member::Priority), "must not be negative");
        if (queue.maximumAttempts < 1)
            this->add(Severity::Error, at(Member::MaximumAttempts), "must be at least 1, or no task is ever started");
        if (queue.timeout.count() < 0)
            this->add(Severity::Error, at(Member::Timeout), "must not be negative");
        this->checkObjective(entry, queue);
        if (queue.advice && queue.advice->ticketValidity <= queue.advice->decisionTime + queue.advice->timePerServer)
            this->add(Severity::Warning, at(Member::Advice),
                "a ticket holds for " + std::to_string(queue.advice->ticketValidity.count())
                    + " ms, the decision on one server alone takes as long");
    }

    /// Host and path prefix of a queue.
    void checkAddress(std::size_t entry, const Queue& queue)
    {
        const auto at = [entry](Member member) { return Place { Section::Queues, entry, member }; };
        const auto unusual = [](unsigned char letter) {
            return std::isspace(letter) != 0 || std::isupper(letter) != 0 || letter == '/';
        };
        if (queue.host.empty())
            this->add(Severity::Error, at(Member::Host), "is empty; no call matches");
        else if (std::ranges::any_of(queue.host, unusual))
            this->add(Severity::Warning, at(Member::Host),
                "has a capital letter, a space or a slash; hosts are compared letter by letter");
        if (!queue.pathPrefix.starts_with('/'))
            this->add(Severity::Error, at(Member::PathPrefix), "must begin with '/', or no call matches");
        for (std::size_t other = 0; other < this->configuration.queues.size(); ++other) {
            const Queue& earlier = this->configuration.queues[other];
            if (other < entry && earlier.name == queue.name)
                this->add(Severity::Error, at(Member::Name),
                    "the queue before it at " + std::to_string(other) + " has the same name '" + queue.name + "'");
            if (other == entry || earlier.host != queue.host)
                continue;
            if (other < entry && earlier.pathPrefix == queue.pathPrefix)
                this->add(Severity::Error, at(Member::PathPrefix),
                    "never matches: queue '" + earlier.name + "' has the same host and prefix");
            else if (takesIdsOf(queue, earlier))
                this->add(Severity::Warning, at(Member::PathPrefix),
                    "takes jobs of queue '" + earlier.name + "' whose ids begin with '"
                        + queue.pathPrefix.substr(earlier.pathPrefix.size()) + "'");
        }
    }

    /// True when the path of a job of `shorter` can begin with the prefix of `longer`.
    static bool takesIdsOf(const Queue& longer, const Queue& shorter)
    {
        if (longer.pathPrefix.size() <= shorter.pathPrefix.size() || !longer.pathPrefix.starts_with(shorter.pathPrefix))
            return false;
        const std::string rest = longer.pathPrefix.substr(shorter.pathPrefix.size());
        return rest.size() <= jobIdLength
            && std::ranges::all_of(rest, [](unsigned char letter) { return std::isxdigit(letter) != 0; });
    }

    /// A job is in time within stretchFactor times its longest chain of work, and targetDuration more.
    void checkObjective(std::size_t entry, const Queue& queue)
    {
        const auto at = [entry](Member member) { return Place { Section::Queues, entry, member }; };
        if (queue.targetDuration.count() < 0)
            this->add(Severity::Error, at(Member::TargetDuration), "must not be negative");
        if (!std::isfinite(queue.stretchFactor) || queue.stretchFactor < 0)
            this->add(Severity::Error, at(Member::StretchFactor), "must be a number of at least 0");
        else if (queue.stretchFactor <= 1 && queue.targetDuration.count() <= 0)
            this->add(Severity::Error, at(Member::StretchFactor),
                "leaves a job no more time than its work takes, and no time is added; every job is late");
        else if (queue.stretchFactor < 1)
            this->add(Severity::Warning, at(Member::StretchFactor),
                "is below 1: a job with work of more than "
                    + std::to_string(static_cast<std::int64_t>(
                        static_cast<double>(queue.targetDuration.count()) / (1 - queue.stretchFactor)))
                    + " ms is late on idle servers too");
    }

    void checkService(std::size_t entry, const Service& service)
    {
        const Place name { Section::Services, entry, Member::Name };
        if (this->configuration.findService(service.name) != &service)
            this->add(Severity::Error, name, "an earlier service has the same name '" + service.name + "'");
        else if (!service.standby && std::ranges::none_of(this->configuration.queues, [&](const Queue& queue) {
                     return queue.service == service.name;
                 }))
            this->add(Severity::Warning, name, "no queue names the service; its servers get no work");
    }

    void checkAccount(std::size_t entry, const ClientAccount& account)
    {
        const auto at = [entry](Member member) { return Place { Section::Accounts, entry, member }; };
        if (this->configuration.findAccount(account.name) != &account)
            this->add(Severity::Error, at(Member::Name), "an earlier account has the same name '" + account.name + "'");
        if (account.keys.empty())
            this->add(Severity::Warning, at(Member::Keys), "the account has no key; it can make no call");
        std::set<std::string> own;
        for (const std::string& key : account.keys) {
            if (key.empty())
                this->add(Severity::Error, at(Member::Keys), "a key is empty");
            if (!own.insert(key).second) {
                this->add(Severity::Warning, at(Member::Keys), "a key is listed twice");
                continue;
            }
            const ClientAccount* owner = this->configuration.accountOfKey(key);
            if (owner && owner != &account)
                this->add(Severity::Error, at(Member::Keys),
                    "account '" + owner->name + "' has one of its keys; calls with it count as that account's");
        }
        if (account.guaranteedAccelerators < 0)
            this->add(Severity::Error, at(Member::Guarantee), "must not be negative");
    }

    /// Guarantees hold for jobs of priority 0.
    void checkGuarantees()
    {
        std::int64_t guaranteed = 0;
        for (const ClientAccount& account : this->configuration.accounts)
            guaranteed += std::max<std::int64_t>(0, account.guaranteedAccelerators);
        if (guaranteed == 0)
            return;
        std::set<std::string> urgent;
        for (const Queue& queue : this->configuration.queues) {
            if (queue.priority == 0)
                urgent.insert(queue.service);
        }
        if (urgent.empty()) {
            this->add(Severity::Warning, { .section = Section::Accounts },
                "no queue has priority 0; no guarantee takes effect");
            return;
        }
        std::int64_t present = 0;
        for (const std::string& service : urgent) {
            const auto known = this->accelerators.find(service);
            if (known == this->accelerators.end())
                return;
            present += known->second;
        }
        if (guaranteed > present)
            this->add(Severity::Error, { .section = Section::Accounts },
                "the accounts are guaranteed " + std::to_string(guaranteed)
                    + " accelerators together, the servers that run queues of priority 0 have "
                    + std::to_string(present));
    }

    const FleetConfiguration& configuration;
    const KnownAccelerators& accelerators;
    std::vector<Finding> findings;
};

} // namespace

std::vector<Finding> check(const FleetConfiguration& configuration, const KnownAccelerators& accelerators)
{
    return Checker(configuration, accelerators).run();
}

} // namespace WisteriaHill::Scheduling::ConfigCheck
