#include "scheduling/serverentries.h"

namespace WisteriaHill::Scheduling {

using Utils::Event;

void ServerEntries::begin()
{
    this->entries.clear();
    this->unreadable.clear();
}

bool ServerEntries::namesService(const std::string& service) const
{
    return this->board.configuration && this->board.configuration->findService(service);
}

bool ServerEntries::isUsed(const ServerEntry& entry) const
{
    if (this->namesService(entry.service))
        return true;
    // A server that only recorded runs name has no service yet.
    const auto found = this->board.servers.find(entry.id);
    return found != this->board.servers.end()
        && (found->second.service == entry.service || found->second.service.empty());
}

void ServerEntries::apply(const Row& row, SteadyTime now)
{
    const std::string& id = row.key.key;
    if (row.removed) {
        this->remove(row);
        return;
    }
    std::optional<ServerEntry> entry = this->decode(row);
    if (!entry) {
        if (this->unreadable.insert(id).second)
            this->effects.log(Event::RowUnreadable, { { "table", row.key.table }, { "key", id } });
        return;
    }
    this->unreadable.erase(id);
    if (this->isUsed(*entry)) {
        KnownEntry& known = this->entries[id];
        known = { .entry = std::move(*entry), .version = row.version, .readAt = now };
        this->update(known, now);
        return;
    }
    const auto former = this->entries.find(id);
    if (former == this->entries.end() || former->second.entry.service != entry->service)
        this->effects.log(Event::ServerEntryUnused,
            { { "server", id }, { "service", entry->service }, { "machine", entry->machine },
                { "rowVersion", row.version },
                { "configuration", this->board.configuration ? this->board.configuration->version : 0 } });
    this->entries[id] = { .entry = std::move(*entry), .version = row.version, .readAt = now };
}

void ServerEntries::remove(const Row& row)
{
    const std::string& id = row.key.key;
    this->entries.erase(id);
    this->unreadable.erase(id);
    const auto found = this->board.servers.find(id);
    if (found == this->board.servers.end() || !found->second.present)
        return;
    found->second.present = false;
    this->effects.log(Event::ServerEntryGone, { { "server", id }, { "rowVersion", row.version } });
}

void ServerEntries::update(const KnownEntry& known, SteadyTime now)
{
    const ServerEntry& entry = known.entry;
    const std::string& id = entry.id;
    const bool isNew = !this->board.servers.contains(id) || this->board.servers.at(id).address.port == 0;
    BackendServer& server = this->board.servers[id];
    if (isNew) {
        server.nextPollAt = now;
        server.pollSoon = true;
        this->effects.log(Event::ServerFound,
            { { "server", id }, { "address", entry.address }, { "rack", entry.rack }, { "service", entry.service },
                { "machine", entry.machine }, { "startedAt", entry.startedAt }, { "rowVersion", known.version } });
    }
    if (entry.draining && !server.draining)
        this->effects.log(Event::ServerDraining,
            { { "server", id }, { "rowVersion", known.version }, { "remainingMs", entry.drainRemaining.count() } });
    const bool wasUsable = server.present && !server.draining;
    const bool sameLife = server.machine == entry.machine && server.registeredStart == entry.startedAt;
    server.address = { .id = id, .address = entry.address, .port = entry.port };
    server.service = entry.service;
    server.zone = entry.zone;
    server.rack = entry.rack;
    server.machine = entry.machine;
    server.registeredStart = entry.startedAt;
    server.labels = entry.labels;
    server.capacity = entry.capacity;
    server.present = true;
    server.draining = entry.draining;
    server.drainUntil = known.readAt + entry.drainRemaining;
    if (!sameLife)
        this->monitor.compareLives(server, now);
    if (!wasUsable && !server.draining)
        this->changed = true;
}

void ServerEntries::reload(const std::vector<Row>& rows, SteadyTime now)
{
    std::set<std::string> listed;
    for (const Row& row : rows) {
        listed.insert(row.key.key);
        this->apply(row, now);
    }
    std::erase_if(this->entries, [&](const auto& known) { return !listed.contains(known.first); });
    std::erase_if(this->unreadable, [&](const std::string& id) { return !listed.contains(id); });
    for (auto& [id, server] : this->board.servers) {
        if (!listed.contains(id))
            server.present = false;
    }
}

void ServerEntries::applyKept(SteadyTime now)
{
    for (const auto& [id, known] : this->entries) {
        const auto found = this->board.servers.find(id);
        const bool isKeptAside = found == this->board.servers.end() || found->second.address.port == 0;
        if (isKeptAside && this->isUsed(known.entry))
            this->update(known, now);
    }
}

void ServerEntries::removeWithdrawn(SteadyTime now)
{
    std::erase_if(this->board.servers, [&](const auto& listed) {
        const auto& [id, server] = listed;
        if (server.address.port == 0 || this->namesService(server.service) || !this->monitor.isSettled(server, now))
            return false;
        this->effects.log(Event::ServerEntryUnused,
            { { "server", id }, { "service", server.service }, { "machine", server.machine },
                { "configuration", this->board.configuration ? this->board.configuration->version : 0 } });
        return true;
    });
}

} // namespace WisteriaHill::Scheduling
