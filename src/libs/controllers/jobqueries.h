/// Answers queries about jobs, also about jobs that another daemon owns, and cancels the latter.
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

    /// Answers with the job's state. With `explain`, a job that this daemon owns also comes with its recent decisions.
    void describe(
        CallerId caller, const Model::ClientAccountId& account, const Model::JobId& job, bool explain, SteadyTime now);
    /// Answers with the account's jobs that this daemon owns.
    void list(CallerId caller, const Model::ClientAccountId& account);
    /// Records the cancellation in the row of a job that another daemon owns, and notifies the owner if it is live.
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
