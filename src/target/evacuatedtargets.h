#ifndef POPLARROAD_TARGET_EVACUATEDTARGETS_H
#define POPLARROAD_TARGET_EVACUATEDTARGETS_H

#include "target/targettable.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarroad
{

/** Which targets accept no new flows because their zone is evacuated. */
class EvacuatedTargets
{
public:
    /** @return the zones that were evacuated before and are not any more */
    std::vector<ZoneId> setZones(std::vector<ZoneId> zones)
    {
        std::vector<ZoneId> returned = std::exchange(zones_, std::move(zones));
        std::erase_if(returned, [this](ZoneId zone) { return isEvacuated(zone); });
        return returned;
    }
    bool contains(const TargetEntry &target) const
    {
        return isEvacuated(target.listed.target.zone);
    }

private:
    bool isEvacuated(ZoneId zone) const
    {
        return std::find(zones_.begin(), zones_.end(), zone) != zones_.end();
    }

    std::vector<ZoneId> zones_; ///< few at any time, so a search is cheaper than a hash
};

} // namespace poplarroad

#endif
