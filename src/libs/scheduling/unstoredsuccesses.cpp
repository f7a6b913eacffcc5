#include "scheduling/unstoredsuccesses.h"

#include <algorithm>

namespace WisteriaHill::Scheduling {

namespace {

constexpr std::size_t successesPerHeartbeat = 12; ///< keeps a heartbeat within one packet
constexpr std::size_t maximumEntries = 400;
/// Longer than the network outages after which a success can still matter; later the task has run again.
constexpr Duration reportingPeriod { 30'000 };

} // namespace

void UnstoredSuccesses::add(std::int64_t number, ReportedSuccess success)
{
    this->reportingSince.reset();
    if (this->entries.size() >= maximumEntries)
        this->entries.pop_front();
    this->entries.push_back({ number, std::move(success) });
}

void UnstoredSuccesses::removeStored(const std::string& server, std::int64_t number)
{
    std::erase_if(
        this->entries, [&](const Entry& entry) { return entry.success.server == server && entry.number <= number; });
}

std::vector<ReportedSuccess> UnstoredSuccesses::nextBatch(SteadyTime now)
{
    if (!this->reportingSince)
        this->reportingSince = now;
    if (now - *this->reportingSince > reportingPeriod)
        this->entries.clear();
    std::vector<ReportedSuccess> next;
    const std::size_t count = std::min(this->entries.size(), successesPerHeartbeat);
    for (std::size_t index = 0; index < count; ++index) {
        next.push_back(this->entries.front().success);
        this->entries.push_back(std::move(this->entries.front()));
        this->entries.pop_front();
    }
    return next;
}

std::vector<ReportedSuccess> UnstoredSuccesses::takeAll()
{
    std::vector<ReportedSuccess> all;
    for (Entry& entry : this->entries)
        all.push_back(std::move(entry.success));
    this->entries.clear();
    return all;
}

} // namespace WisteriaHill::Scheduling
