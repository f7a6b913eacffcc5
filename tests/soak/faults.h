/// Random faults of a soak, which may overlap.
#pragma once

#include "soak/fleet.h"
#include "soak/seededrandom.h"

#include <boost/asio/spawn.hpp>
#include <fstream>
#include <functional>

namespace WisteriaHill::Soak {

/// Thread safety: none; all on the context's thread.
class FaultInjector {
public:
    FaultInjector(boost::asio::io_context& context, Fleet& fleet, const std::string& logPath, std::uint64_t seed);

    /// Injects faults until `end`; returns at once. A fleet with several availability zones gets cuts that outlast
    /// leases, mostly around the leader, and faults of processes meanwhile. One with failing servers in a single zone
    /// gets cuts of some of the servers only.
    void start(Moment end);

    /// True when all faults have ended and no further one begins.
    bool isHealed() const { return this->finished && this->active == 0; }

private:
    struct Fault {
        std::string name;
        std::function<void()> begin;
        std::function<void()> end; ///< empty for a fault that needs no end
    };

    void run(Moment end, const boost::asio::yield_context& yield);
    void runCuts(Moment end, const boost::asio::yield_context& yield);
    void startFault(const Fault& fault, Duration length);
    int leader(const boost::asio::yield_context& yield);
    Fault randomCut(const boost::asio::yield_context& yield);
    void inject(const Fault& fault, Duration length, const boost::asio::yield_context& yield);
    void postToStandIn(
        std::uint16_t port, const std::string& path, const std::string& body, const boost::asio::yield_context& yield);
    Fault randomFault();
    Fault processFault();
    Fault linkFault();
    Fault standInFault();

    boost::asio::io_context& context;
    Fleet& fleet;
    std::ofstream log;
    SeededRandom random;
    int active = 0;
    bool finished = false;
};

} // namespace WisteriaHill::Soak
