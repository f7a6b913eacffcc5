/// Reads whole tables of the state store page by page.
#pragma once

#include "scheduling/effects.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// All rows of a partition, and the version after which to watch for changes.
struct TableContents {
    std::string table;
    std::vector<Row> rows;
    RowVersion position = 0;
};

/// Retries each page that could not be read, until it is read or begin() is called. Thread safety: none.
class TableReader {
public:
    explicit TableReader(Effects& effects)
        : effects(effects)
    {
    }

    /// `handler` is called with each table that was read completely.
    void onRead(std::function<void(TableContents, SteadyTime)> handler) { this->tableHandler = std::move(handler); }
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Cancels all reads; answers to them are ignored.
    void begin();

    void read(const std::string& table, const std::string& partition);

    /// Retries the failed reads when that is due.
    void tick(SteadyTime now);

private:
    struct TableRead {
        std::string table;
        std::string partition;
        std::string from;
        std::vector<Row> collected;
        RowVersion position = 0; ///< version of the first page; the change feed delivers later changes
    };

    void readPage(TableRead read);
    void handlePage(TableRead read, const ReadResult& result);

    Effects& effects;
    std::function<void(TableContents, SteadyTime)> tableHandler;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0;
    std::vector<TableRead> failedReads; ///< waiting for a retry
    SteadyTime nextRetry {};
};

} // namespace WisteriaHill::Scheduling
