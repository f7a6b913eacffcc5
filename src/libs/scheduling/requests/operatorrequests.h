/// Reads what the operator requests through the store, for the controllers that carry it out.
#pragma once

#include "scheduling/effects.h"

#include <functional>
#include <string>
#include <vector>

namespace WisteriaHill::Scheduling::Requests {

struct OperatorRequestOptions {
    RowRange range; ///< that holds the requests; nothing is read when it names no table
    Duration interval { 2000 }; ///< from one read to the next one
    Duration retryPause { 2000 }; ///< from the beginning of a read that failed to the next one
    Duration timeout { 800 }; ///< of the read of one page
};

/// Reads all requests at regular intervals, by one daemon of the fleet. Runs in the leader only. Thread safety: none.
class OperatorRequests {
public:
    /// All requests, as they stood at a moment after `readAt`.
    using Handler = std::function<void(const std::vector<Row>& rows, SteadyTime readAt, SteadyTime now)>;

    OperatorRequests(Effects& effects, OperatorRequestOptions options)
        : effects(effects)
        , options(std::move(options))
    {
    }

    /// Sets the source of the current time. To be called before the first tick().
    void setClock(std::function<SteadyTime()> handler) { this->clock = std::move(handler); }

    void onRead(Handler handler) { this->handler = std::move(handler); }

    /// Starts a term: open reads are ignored, and the next tick reads.
    void begin();

    /// Sends the read that is due.
    void tick(SteadyTime now);

private:
    void readFrom(const std::string& key);
    void handlePage(const ReadResult& result);

    Effects& effects;
    OperatorRequestOptions options;
    std::function<SteadyTime()> clock;
    Handler handler;
    std::vector<Row> collected; ///< pages of the open read
    SteadyTime readAt {}; ///< when the open or last read was sent
    SteadyTime nextRead {};
    std::uint64_t generation = 0;
    bool readOpen = false;
};

} // namespace WisteriaHill::Scheduling::Requests
