/// The steady clock of the state store as this daemon sees it.
#pragma once

#include "scheduling/fleetjob.h"

#include <optional>

namespace WisteriaHill::Scheduling {

/// Thread safety: none.
class StoreClock {
public:
    /// An answer that arrived at `now` carried the store's time.
    void addSample(StoreTime storeNow, SteadyTime now)
    {
        this->sample = storeNow;
        this->sampledAt = now;
    }

    bool isKnown() const { return this->sample.has_value(); }

    /// The store's time at `now`; zero when it is not known yet.
    StoreTime at(SteadyTime now) const
    {
        return this->sample ? *this->sample + std::chrono::duration_cast<StoreTime>(now - this->sampledAt)
                            : StoreTime(0);
    }

private:
    std::optional<StoreTime> sample;
    SteadyTime sampledAt {};
};

} // namespace WisteriaHill::Scheduling
