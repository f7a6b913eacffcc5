#include "scheduling/effects.h"

namespace WisteriaHill::Scheduling {

std::string upkeepResultName(UpkeepResult result)
{
    switch (result) {
    case UpkeepResult::Done:
        return "done";
    case UpkeepResult::Fenced:
        return "fenced";
    case UpkeepResult::Busy:
        return "busy";
    case UpkeepResult::OtherWave:
        return "other wave";
    case UpkeepResult::NoSuchMachine:
        return "no such machine";
    case UpkeepResult::Unavailable:
        return "upkeep not available now";
    case UpkeepResult::NoAnswer:
        return "no answer";
    }
    return "unknown";
}

} // namespace WisteriaHill::Scheduling
