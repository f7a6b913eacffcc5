/// When clients whose calls were not carried out should come back.
#pragma once

#include "scheduling/calls/storeevidence.h"
#include "utils/steadytime.h"

#include <cstdint>
#include <deque>
#include <string>

namespace WisteriaHill::Scheduling::Calls {

using Utils::SteadyTime;

/// Spreads the returns of refused clients by what is known of the outage and by how many of them this daemon can serve
/// at once. Thread safety: none.
class ReturnTimes {
public:
    /// For a client that another daemon serves better, and at once: this one has no configuration yet.
    static Duration elsewhere();

    /// The time until the client of a call should return, when the store did not carry the call out. An outage is
    /// expected to last as long again as it has lasted, and the clients that were told to wait come back over the time
    /// that this daemon needs for their calls. `patience` is how long the client waits for
    /// one answer: it is taken to have little more time in all, so it comes back within half of that, but after a
    /// second at least. `key` spreads the clients; equal keys get equal shares.
    Duration afterOutage(const StoreEvidence& evidence, const std::string& key, Duration patience, SteadyTime now);

    /// Clients that were told to wait and whose time has not passed.
    std::size_t expected(SteadyTime now);

private:
    std::deque<SteadyTime> returns; ///< when clients come back, ascending by the time they were told
};

} // namespace WisteriaHill::Scheduling::Calls
