/// A state store in memory for tests of the scheduling library: rows with versions, feeds, outages and lost answers.
#pragma once

#include "scheduling/statestore.h"

#include <map>
#include <optional>
#include <vector>

namespace WisteriaHill::TestSupport {

/// Applies transactions at once. Thread safety: none.
class FakeStore {
public:
    bool down = false; ///< refuses everything
    bool silent = false; ///< answers nothing and does nothing
    int answersToLose = 0; ///< so many commits are carried out without an answer
    Scheduling::RowVersion compactedUpTo = 0; ///< feeds from before have no history

    Scheduling::CommitResult commit(const Scheduling::Transaction& transaction);
    Scheduling::ReadResult read(const Scheduling::RowRange& range) const;

    /// Changes of a table after a version; an empty page when there are none.
    Scheduling::WatchResult changes(const std::string& table, Scheduling::RowVersion after) const;

    /// Writes as the operator or a server does.
    void put(const Scheduling::RowKey& key, const std::string& value);
    void remove(const Scheduling::RowKey& key);

    /// The value of a row; nothing when it does not exist.
    std::optional<std::string> find(const Scheduling::RowKey& key) const;

    Scheduling::RowVersion version() const { return this->newest; }

private:
    Scheduling::CommitResult apply(const Scheduling::Transaction& transaction);

    std::map<Scheduling::RowKey, Scheduling::Row> rows;
    std::vector<Scheduling::Row> history;
    Scheduling::RowVersion newest = 0;
};

} // namespace WisteriaHill::TestSupport
