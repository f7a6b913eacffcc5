#include "scheduling/configurationrelay.h"

#include <utility>

namespace WisteriaHill::Scheduling {

void ConfigurationRelay::setRow(Row newRow)
{
    this->row = std::move(newRow);
    std::vector<Watch> due;
    std::erase_if(this->waiting, [&](Watch& watch) {
        if (this->row->version <= watch.after)
            return false;
        due.push_back(std::move(watch));
        return true;
    });
    for (const Watch& watch : due)
        watch.done({ .rows = { *this->row }, .version = this->row->version });
}

std::optional<RowPage> ConfigurationRelay::read(const RowRange& range) const
{
    const RowRange own = singleRow(this->document);
    if (!this->row || range.table != own.table || range.partition != own.partition || range.from != own.from
        || range.to != own.to)
        return std::nullopt;
    return RowPage { .rows = { *this->row }, .version = this->row->version };
}

void ConfigurationRelay::watch(RowVersion after, SteadyTime until, PageHandler done)
{
    if (this->row->version > after)
        done({ .rows = { *this->row }, .version = this->row->version });
    else
        this->waiting.push_back({ .after = after, .until = until, .done = std::move(done) });
}

void ConfigurationRelay::tick(SteadyTime now)
{
    std::vector<Watch> due;
    std::erase_if(this->waiting, [&](Watch& watch) {
        if (now < watch.until)
            return false;
        due.push_back(std::move(watch));
        return true;
    });
    for (const Watch& watch : due)
        watch.done({ .version = watch.after });
}

} // namespace WisteriaHill::Scheduling
