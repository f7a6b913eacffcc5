/// Reads whole tables of the state store, page after page.
#pragma once

#include "scheduling/effects.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling {

/// All rows of a partition, and the version from which changes to them are to be followed.
struct TableContents {
    std::string table;
    std::vector<Row> rows;
    RowVersion position = 0;
};

/// A page that could not be read is asked for again until begin() is called. Thread safety: none.
class TableReader {
public:
    explicit TableReader(Effects& effects)
        : effects(effects)
    {
    }

    /// Called with each table that was read.
    void onRead(std::function<void(TableContents, SteadyTime)> handler) { this->tableHandler = std::move(handler); }
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    /// Forgets all reads that are under way.
    void begin();

    void read(const std::string& table, const std::string& partition);

    /// Sends again what failed.
    void tick(SteadyTime now);

private:
    struct TableRead {
        std::string table;
        std::string partition;
        std::string from;
        std::vector<Row> collected;
        RowVersion position = 0; ///< of the first page; later changes come from the feed
    };

    void readPage(TableRead read);
    void handlePage(TableRead read, const ReadResult& result);

    Effects& effects;
    std::function<void(TableContents, SteadyTime)> tableHandler;
    std::function<SteadyTime()> clock;
    std::uint64_t generation = 0;
    std::vector<TableRead> failedReads; ///< to be sent again
    SteadyTime nextRetry {};
};

} // namespace WisteriaHill::Scheduling
