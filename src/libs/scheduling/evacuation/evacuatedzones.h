/// Which availability zones get no new runs, as last read from the operator's requests.
#pragma once

#include "scheduling/serverorders.h"

#include <optional>
#include <set>
#include <string>

namespace WisteriaHill::Scheduling::Evacuation {

/// Pure: no clock, no input or output. Thread safety: none.
class EvacuatedZones {
public:
    struct Changes {
        std::set<std::string> begun;
        std::set<std::string> takenBack;
    };

    EvacuatedZones() = default;

    /// `bound` is the time from the store's acknowledgement of a request until nothing may start in its zone. Zero on a
    /// platform without evacuations, where every start is allowed.
    explicit EvacuatedZones(Duration bound)
        : bound(bound)
    {
    }

    /// Starts a term: nothing is known until the requests are read.
    void begin()
    {
        this->zones.clear();
        this->readAt.reset();
    }

    /// Takes over the requests that stood in the store at a moment after `sentAt`.
    Changes update(std::set<std::string> requested, SteadyTime sentAt);

    const std::set<std::string>& all() const { return this->zones; }
    bool contains(const std::string& zone) const { return !this->zones.empty() && this->zones.contains(zone); }

    /// True while a request may have been acknowledged so long ago that its zone must not get starts any more, and is
    /// not known here. Then no zone may get one.
    bool isOutdated(SteadyTime now) const
    {
        return this->bound.count() > 0 && (!this->readAt || now > *this->readAt + this->bound);
    }

    bool mayStart(const std::string& zone, SteadyTime now) const
    {
        return !this->contains(zone) && !this->isOutdated(now);
    }

    /// Time since the requests were last read; unset when they were not in this term.
    std::optional<Duration> age(SteadyTime now) const;

private:
    Duration bound { 0 };
    std::set<std::string> zones;
    std::optional<SteadyTime> readAt;
};

} // namespace WisteriaHill::Scheduling::Evacuation
