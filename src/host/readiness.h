#ifndef POPLARROAD_HOST_READINESS_H
#define POPLARROAD_HOST_READINESS_H

#include "poplarroad/configuration.h"
#include "poplarroad/host.h"

namespace poplarroad
{

/** What a starting balancer can route. */
enum class Readiness : std::uint8_t {
    None, ///< nothing: it has no configuration or has not joined its zone
    OwnZone, ///< messages that other balancers forward to its own zone
    AllZones, ///< callers' messages, to any zone
};

template<>
struct EnumNames<Readiness>
{
    static constexpr std::array table{
        EnumName<Readiness>{ Readiness::None, "none" },
        EnumName<Readiness>{ Readiness::OwnZone, "own-zone" },
        EnumName<Readiness>{ Readiness::AllZones, "all-zones" },
    };
};

/** @return what a balancer with this configuration and view can route; both may be nullptr */
Readiness readinessOf(const ConfigurationPtr &configuration, const std::shared_ptr<const FleetView> &view);

} // namespace poplarroad

#endif
