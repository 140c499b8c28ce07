#include "host/readiness.h"

#include <algorithm>

namespace poplarroad
{

Readiness readinessOf(const ConfigurationPtr &configuration, const std::shared_ptr<const FleetView> &view)
{
    if (!configuration || configuration->revision() == Revision{} || !view || !view->joined) {
        return Readiness::None;
    }
    const auto reached = [&](const auto &entry) {
        const ZoneSummary *summary = view->findZone(entry.first);
        return entry.first == view->zone || (summary != nullptr && summary->reachable);
    };
    const bool all = std::all_of(configuration->zones().begin(), configuration->zones().end(), reached);
    return all ? Readiness::AllZones : Readiness::OwnZone;
}

} // namespace poplarroad
