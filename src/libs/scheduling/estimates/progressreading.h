/// Estimates how long a run will take in all from the progress that its server lists. Pure: no clock, no input or
/// output.
#pragma once

#include "scheduling/serverorders.h"

#include <limits>
#include <optional>

namespace WisteriaHill::Scheduling::Estimates {

/// Run time of a whole run on its machine.
struct RunTimeReading {
    double milliseconds = 0;
    double variance = 0; ///< of the logarithm, from the rounding of percents and the transit of messages
    bool isUpperBound = false; ///< the run may have ended earlier than the reading shows
    bool isFinal = false; ///< enough of the run was seen to count it as one
};

/// Follows one run. Times are those of the server's clock, so that neither a slow link nor a busy scheduler counts as
/// run time. Thread safety: none.
class ProgressReading {
public:
    /// The work began at `start`. Not called when that is unknown; counting then begins with the first progress.
    void begin(ServerTime start);

    /// Adds what the server listed at `time`. Returns nothing when it tells nothing new. A server that is disturbed for
    /// a while lists little progress in that time; the rate before or after it is what counts.
    std::optional<RunTimeReading> add(ServerTime time, int percent);

    /// The run ended at `time`, having done all of its work.
    std::optional<RunTimeReading> end(ServerTime time) const;

    /// True when enough progress was seen to tell the rate.
    bool hasRate() const { return this->fastest < std::numeric_limits<double>::infinity(); }

private:
    struct Point {
        ServerTime time { 0 };
        double percent = 0;
    };

    std::optional<Point> base; ///< unset before anything is known
    Point mark; ///< begin of the stretch that is being measured
    int lastPercent = 0;
    double fastest = std::numeric_limits<double>::infinity(); ///< milliseconds a percent, of the fastest stretch
};

} // namespace WisteriaHill::Scheduling::Estimates
