/// Estimates the steady clock of the state store from its answers.
#pragma once

#include "scheduling/fleetjob.h"

#include <optional>

namespace WisteriaHill::Scheduling {

/// Thread safety: none.
class StoreClock {
public:
    /// Records the store's time from an answer that arrived at `now`.
    void addSample(StoreTime storeNow, SteadyTime now)
    {
        this->sample = storeNow;
        this->sampledAt = now;
    }

    bool isKnown() const { return this->sample.has_value(); }

    /// The store's time at `now`; zero before the first sample.
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
