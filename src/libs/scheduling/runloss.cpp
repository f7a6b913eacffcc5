#include "scheduling/runloss.h"

namespace WisteriaHill::Scheduling {

std::string runLossName(RunLoss loss)
{
    switch (loss) {
    case RunLoss::ServerGone:
        return "server gone";
    case RunLoss::ServerRestarted:
        return "server restarted";
    case RunLoss::NeverStarted:
        return "never started";
    case RunLoss::NotListed:
        return "not listed";
    }
    return "unknown";
}

} // namespace WisteriaHill::Scheduling
