/// Finds the jobs of a daemon that is gone and makes them this daemon's own, by compare-and-set of their rows.
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
    /// The job's row names this daemon now.
    std::function<void(const Model::JobRecord&, Model::RowVersion, SteadyTime)> takenOver;
    /// All rows were looked at.
    std::function<void(const LapsedSession&, SteadyTime)> finished;
};

/// Thread safety: none.
class JobTakeover {
public:
    JobTakeover(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random,
        JobTakeoverCallbacks callbacks);

    /// Looks at the rows after the key `after`, page by page. Precondition: this daemon holds its session.
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
