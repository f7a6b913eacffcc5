/// An in-memory state store for tests of the scheduling library: versioned rows, change feeds, outages, lost answers.
#pragma once

#include "scheduling/statestore.h"

#include <map>
#include <optional>
#include <vector>

namespace WisteriaHill::TestSupport {

/// Applies transactions at once. Thread safety: none.
class FakeStore {
public:
    bool down = false; ///< rejects every call
    bool silent = false; ///< no call takes effect or is answered
    int answersToLose = 0; ///< so many of the next commits take effect without an answer
    int invalidTransactions = 0; ///< refused, as they or a row of them exceed the limits of the users' store
    Scheduling::RowVersion compactedUpTo = 0; ///< change feeds from an earlier version have no history

    Scheduling::CommitResult commit(const Scheduling::Transaction& transaction);
    Scheduling::ReadResult read(const Scheduling::RowRange& range) const;

    /// Changes of a table after a version; an empty page when there are none.
    Scheduling::WatchResult changes(const std::string& table, Scheduling::RowVersion after) const;

    /// Write without conditions, as the operator or a backend server does.
    void put(const Scheduling::RowKey& key, const std::string& value);
    void remove(const Scheduling::RowKey& key);

    /// The value of a row; nothing when it does not exist.
    std::optional<std::string> find(const Scheduling::RowKey& key) const;

    Scheduling::RowVersion version() const { return this->newest; }

private:
    static bool isValid(const Scheduling::Transaction& transaction);
    Scheduling::CommitResult apply(const Scheduling::Transaction& transaction);

    std::map<Scheduling::RowKey, Scheduling::Row> rows;
    std::vector<Scheduling::Row> history;
    Scheduling::RowVersion newest = 0;
};

} // namespace WisteriaHill::TestSupport
