/// Finds the jobs whose owner's session lapsed, or that have no owner, and takes over their ownership by
/// compare-and-set of their rows.
#pragma once

#include "controllers/outbox.h"
#include "controllers/sessioncontroller.h"
#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

#include <functional>
#include <string>

namespace WisteriaHill::Controllers {

struct JobTakeoverCallbacks {
    /// The job's row names this daemon as the owner.
    std::function<void(const Model::JobRecord&, Model::RowVersion, SteadyTime)> takenOver;
    /// The scan has read all rows of the zone's jobs.
    std::function<void(const LapsedSession&, SteadyTime)> finished;
};

/// Thread safety: none.
class JobTakeover {
public:
    JobTakeover(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random,
        JobTakeoverCallbacks callbacks);

    /// Reads the rows after the key `after`, page by page. Ends without `finished` if the table service does not
    /// answer. Precondition: this daemon holds its session.
    void scan(const LapsedSession& session, std::string after);

private:
    void takeOverRow(const LapsedSession& session, const Model::TableRow& row, SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    TableWriter& writer;
    Utils::RandomSource& random;
    JobTakeoverCallbacks callbacks;
};

} // namespace WisteriaHill::Controllers
