/// Serves the configuration document to daemons that the store rejects.
#pragma once

#include "scheduling/statestore.h"

#include <functional>
#include <optional>
#include <vector>

namespace WisteriaHill::Scheduling {

/// Answers relayed reads and watches of the document from this daemon's memory. Passing each of them on to the store
/// would carry the whole document twice over this host's link, and the response could begin only after the first time.
/// Thread safety: none.
class ConfigurationRelay {
public:
    using PageHandler = std::function<void(const RowPage&)>;

    explicit ConfigurationRelay(RowKey document)
        : document(std::move(document))
    {
    }

    /// Sets the row in force and answers the watches that wait for it.
    void setRow(Row row);

    /// The answer to a read of the document; nothing when the range is another one or no document is known.
    std::optional<RowPage> read(const RowRange& range) const;

    /// True when watches of the table are answered here: the document is known and the only watched row of its table.
    bool watches(const std::string& table) const { return this->row && table == this->document.table; }

    /// Answers with the document once it is newer than `after`, or with an empty page at `until`. `done` is called
    /// exactly once. Precondition: watches() is true for the document's table.
    void watch(RowVersion after, SteadyTime until, PageHandler done);

    /// Ends the watches whose time is over.
    void tick(SteadyTime now);

private:
    struct Watch {
        RowVersion after = 0;
        SteadyTime until {};
        PageHandler done;
    };

    RowKey document;
    std::optional<Row> row;
    std::vector<Watch> waiting;
};

} // namespace WisteriaHill::Scheduling
