#include "host/leavetime.h"

#include <algorithm>

namespace poplarroad
{

Milliseconds leaveTime(const ConfigurationPtr &configuration, Milliseconds limit)
{
    Milliseconds longest{ 0 };
    if (configuration) {
        for (const auto &[id, service] : configuration->services()) {
            if (configuration->zonesOf(id).empty()) {
                continue;
            }
            for (const Contract &contract : service.contracts) {
                longest = contract.occupancy == Occupancy::Slot ? std::max(longest, contract.deadline) : longest;
            }
        }
    }
    return std::min(TokenRenewalAge + longest, limit);
}

} // namespace poplarroad
