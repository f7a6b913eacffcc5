/// Sessions: one row per daemon in the table service. Its renewals prove to other daemons that the owner is live, even
/// when no heartbeats arrive.
#pragma once

#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <map>
#include <string>

namespace WisteriaHill::Controllers {

/// The daemon whose jobs are to be taken over.
struct LapsedSession {
    Model::EntryHostId host;
    Model::Incarnation incarnation = 0;
};

/// Thread safety: none.
class SessionController {
public:
    /// `lapsed` is called for a daemon of this zone whose row was not renewed for the session's length plus a margin,
    /// or which announced its leave, if this daemon is the zone owner of that row. It is called repeatedly until
    /// remove() is called.
    SessionController(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random,
        std::function<void(const LapsedSession&, SteadyTime)> lapsed);

    /// True while no other daemon can have taken over this daemon's jobs.
    bool holdsSession(SteadyTime now) const;

    /// Deletes the row of a lapsed session. Precondition: all its jobs were taken over.
    void remove(const LapsedSession& session, SteadyTime now);

    void tick(SteadyTime now);

private:
    struct ObservedSession {
        Model::RowVersion version = 0;
        SteadyTime unchangedSince;
        LapsedSession session;
    };

    std::string ownKey() const;
    void renew(SteadyTime now);
    void pollSessions();
    void onRows(const std::vector<Model::TableRow>& rows, SteadyTime now);
    void reportLapsed(SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    TableWriter& writer;
    Utils::RandomSource& random;
    std::function<void(const LapsedSession&, SteadyTime)> lapsed;
    Model::RowVersion ownVersion = 0;
    bool writing = false;
    SteadyTime heldUntil;
    SteadyTime nextRenewal;
    SteadyTime nextPoll;
    std::map<std::string, ObservedSession> observedSessions;
    std::uint64_t counter = 0;
};

} // namespace WisteriaHill::Controllers
