/// What callers ask about jobs, also those that another daemon owns.
#pragma once

#include "controllers/outbox.h"
#include "controllers/tablewriter.h"
#include "model/blackboard.h"
#include "utils/randomsource.h"

namespace WisteriaHill::Controllers {

/// Each call is answered by one AnswerDocument effect. Thread safety: none.
class JobQueries {
public:
    JobQueries(Model::Blackboard& blackboard, Outbox& outbox, TableWriter& writer, Utils::RandomSource& random);

    /// The job's state; with `explain` also why it is so, for jobs that are owned here.
    void describe(
        CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now);
    /// The account's jobs that are owned here.
    void list(CallerId caller, const Model::ClientAccountId& account);
    /// Marks a job that is not owned here as cancelled and tells its owner.
    void requestCancel(CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job);

private:
    void answerFromRow(CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job);
    void onRowForCancel(CallerId caller, const Model::TableRow& row, Model::JobRecord record, SteadyTime now);

    Model::Blackboard& blackboard;
    Outbox& outbox;
    TableWriter& writer;
    Utils::RandomSource& random;
};

} // namespace WisteriaHill::Controllers
