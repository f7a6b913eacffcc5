#include "adapters/budget/ledger.h"

#include <algorithm>

namespace WisteriaHill::Adapters::Budget {

namespace {

constexpr std::size_t slowestBytesPerMs = 1; ///< a body or an answer that is slower than this makes no progress

template <typename Counts> void countDown(Counts& counts, const typename Counts::key_type& key)
{
    const auto found = counts.find(key);
    if (found != counts.end() && --found->second == 0)
        counts.erase(found);
}

template <typename Counts> std::size_t countOf(const Counts& counts, const typename Counts::key_type& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

const char* refusalName(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::Connections:
        return "connections";
    case Refusal::AddressConnections:
        return "connections of the address";
    case Refusal::Requests:
        return "requests";
    case Refusal::AccountRequests:
        return "requests of the account";
    case Refusal::Bytes:
        return "bytes";
    case Refusal::ConnectionBytes:
        return "bytes of the connection";
    case Refusal::Evicted:
        return "oldest unfinished";
    case Refusal::Overdue:
        return "overdue";
    }
    return "";
}

Ledger::Order* Ledger::orderOf(Stage stage)
{
    if (stage == Stage::Waiting)
        return &this->waiting;
    return stage == Stage::InWork ? nullptr : &this->unfinished;
}

void Ledger::enter(ConnectionId connection, Entry& entry, Stage stage, SteadyTime now)
{
    if (Order* order = this->orderOf(entry.stage))
        order->erase({ entry.own, entry.since, connection });
    this->leaveWork(entry);
    entry.stage = stage;
    entry.since = now;
    if (Order* order = this->orderOf(stage))
        order->insert({ entry.own, now, connection });
}

void Ledger::leaveWork(Entry& entry)
{
    if (entry.stage != Stage::InWork)
        return;
    --this->inWork;
    countDown(this->byAccount, entry.account);
    entry.account.clear();
}

void Ledger::add(Entry& entry, std::size_t bytes)
{
    entry.bytes += bytes;
    this->held += bytes;
    this->heldByOthers += entry.own ? 0 : bytes;
    this->recentPeak = std::max(this->recentPeak, this->held);
    this->peak = std::max(this->peak, this->held);
}

Verdict Ledger::refuse(Refusal refusal, std::vector<ConnectionId> evicted)
{
    ++this->refused.at(static_cast<std::size_t>(refusal));
    return { .refusal = refusal, .evicted = std::move(evicted) };
}

ConnectionId Ledger::connect(const std::string& address, SteadyTime now, Verdict& verdict, bool own)
{
    const ConnectionId connection = ++this->last;
    if (countOf(this->byAddress, address) >= this->shareLimits.connectionsPerAddress) {
        verdict = this->refuse(Refusal::AddressConnections);
        return connection;
    }
    verdict = {};
    const std::size_t mostOfOthers = this->shareLimits.connections - this->shareLimits.connectionsOfOwn;
    if (this->entries.size() >= this->shareLimits.connections || (!own && this->connectionsOfOthers >= mostOfOthers)) {
        const Order& oldest
            = this->waiting.empty() || (!this->unfinished.empty() && *this->unfinished.begin() < *this->waiting.begin())
            ? this->unfinished
            : this->waiting;
        if (oldest.empty() || (!own && std::get<bool>(*oldest.begin()))) {
            verdict = this->refuse(Refusal::Connections);
            return connection;
        }
        verdict.evicted.push_back(std::get<ConnectionId>(*oldest.begin()));
        ++this->refused.at(static_cast<std::size_t>(Refusal::Evicted));
        this->disconnect(verdict.evicted.back());
    }
    Entry& entry = this->entries[connection];
    entry.address = address;
    entry.own = own;
    entry.since = now;
    this->waiting.insert({ own, now, connection });
    this->connectionsOfOthers += own ? 0 : 1;
    ++this->byAddress[address];
    this->add(entry, bytesOfConnection);
    return connection;
}

Verdict Ledger::makeRoom(ConnectionId connection, std::size_t bytes)
{
    Verdict verdict;
    Entry& entry = this->entries.at(connection);
    if (entry.bytes + bytes > this->shareLimits.bytesPerConnection)
        return this->refuse(Refusal::ConnectionBytes);
    while (this->isFullFor(bytes) || (!entry.own && this->isFullForOthers(bytes))) {
        const bool alone = this->held <= entry.bytes + (this->entries.size() - 1) * bytesOfConnection;
        if (alone)
            break;
        const ConnectionId oldest
            = this->unfinished.empty() ? connection : std::get<ConnectionId>(*this->unfinished.begin());
        if (oldest == connection || (!entry.own && this->entries.at(oldest).own))
            return this->refuse(Refusal::Bytes, std::move(verdict.evicted));
        verdict.evicted.push_back(oldest);
        ++this->refused.at(static_cast<std::size_t>(Refusal::Evicted));
        this->disconnect(oldest);
    }
    return verdict;
}

Verdict Ledger::receive(ConnectionId connection, SteadyTime now)
{
    Entry& entry = this->entries.at(connection);
    this->release(connection, entry.bytes - std::min(entry.bytes, bytesOfConnection)); // an earlier answer is taken
    this->enter(connection, entry, Stage::Receiving, now);
    entry.hadRequest = true;
    return this->hold(connection, bytesOfRequest);
}

Verdict Ledger::hold(ConnectionId connection, std::size_t bytes)
{
    Verdict verdict = this->makeRoom(connection, bytes);
    if (verdict.admitted())
        this->add(this->entries.at(connection), bytes);
    return verdict;
}

void Ledger::release(ConnectionId connection, std::size_t bytes)
{
    const auto found = this->entries.find(connection);
    if (found == this->entries.end())
        return;
    const std::size_t released = std::min(bytes, found->second.bytes);
    found->second.bytes -= released;
    this->held -= released;
    this->heldByOthers -= found->second.own ? 0 : released;
}

Verdict Ledger::work(ConnectionId connection, const std::string& account)
{
    if (this->inWork >= this->shareLimits.requests)
        return this->refuse(Refusal::Requests);
    if (countOf(this->byAccount, account) >= this->shareLimits.requestsPerAccount)
        return this->refuse(Refusal::AccountRequests);
    Entry& entry = this->entries.at(connection);
    this->enter(connection, entry, Stage::InWork, entry.since);
    entry.account = account;
    ++this->byAccount[account];
    ++this->inWork;
    return {};
}

void Ledger::answer(ConnectionId connection, std::size_t bytes, SteadyTime now)
{
    const auto found = this->entries.find(connection);
    if (found == this->entries.end())
        return;
    this->release(connection, found->second.bytes - std::min(found->second.bytes, bytesOfConnection));
    this->add(found->second, bytes);
    this->enter(connection, found->second, Stage::Answering, now);
}

void Ledger::finish(ConnectionId connection, SteadyTime now)
{
    const auto found = this->entries.find(connection);
    if (found == this->entries.end())
        return;
    this->release(connection, found->second.bytes - std::min(found->second.bytes, bytesOfConnection));
    this->enter(connection, found->second, Stage::Waiting, now);
}

void Ledger::disconnect(ConnectionId connection)
{
    const auto found = this->entries.find(connection);
    if (found == this->entries.end())
        return;
    Entry& entry = found->second;
    if (Order* order = this->orderOf(entry.stage))
        order->erase({ entry.own, entry.since, connection });
    this->leaveWork(entry);
    countDown(this->byAddress, entry.address);
    this->held -= entry.bytes;
    this->heldByOthers -= entry.own ? 0 : entry.bytes;
    this->connectionsOfOthers -= entry.own ? 0 : 1;
    this->entries.erase(found);
}

bool Ledger::isOverdue(const Entry& entry, SteadyTime now) const
{
    const auto passed = std::chrono::duration_cast<Duration>(now - entry.since);
    const auto bySize = Duration(static_cast<Duration::rep>(entry.bytes / slowestBytesPerMs));
    switch (entry.stage) {
    case Stage::Waiting:
        return passed > (entry.hadRequest ? this->shareLimits.idleTime : this->shareLimits.firstRequestTime);
    case Stage::Receiving:
    case Stage::Answering:
        return passed - bySize > this->shareLimits.progressTime;
    case Stage::InWork:
        break;
    }
    return false;
}

std::vector<ConnectionId> Ledger::takeOverdue(SteadyTime now)
{
    std::vector<ConnectionId> overdue;
    for (const auto& [connection, entry] : this->entries) {
        if (this->isOverdue(entry, now))
            overdue.push_back(connection);
    }
    std::ranges::sort(overdue);
    for (const ConnectionId connection : overdue) {
        ++this->refused.at(static_cast<std::size_t>(Refusal::Overdue));
        this->disconnect(connection);
    }
    return overdue;
}

std::vector<ConnectionId> Ledger::answering() const
{
    std::vector<ConnectionId> connections;
    for (const auto& [own, since, connection] : this->unfinished) {
        if (this->entries.at(connection).stage == Stage::Answering)
            connections.push_back(connection);
    }
    return connections;
}

} // namespace WisteriaHill::Adapters::Budget
