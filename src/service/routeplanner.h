#ifndef POPLARROAD_SERVICE_ROUTEPLANNER_H
#define POPLARROAD_SERVICE_ROUTEPLANNER_H

#include "poplarroad/configuration.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/request.h"
#include "zone/zonechooser.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <variant>

namespace poplarroad
{

/** The dispatcher is in this process. */
struct LocalRoute
{
    PoolId pool;
    bool dropToken = false; ///< the flow leaves the pool that its token names
};

/** The message goes to another balancer. */
struct RemoteRoute
{
    PoolId pool;
    HostAddress host;
    bool dropToken = false;
};

/** No zone that can be reached has active targets. */
struct NoRoute
{
};

/** The bound dispatcher incarnation is gone or cannot be reached. */
struct BoundDispatcherLost
{
};

using Route = std::variant<LocalRoute, RemoteRoute, NoRoute, BoundDispatcherLost>;

/** @return whether the message has to go without its token */
bool mustDropToken(const Route &route);

/** What routing looks at in a message. */
struct RouteQuery
{
    ServiceId service;
    FlowId flow;
    std::uint64_t sequence = 0;
    std::optional<FlowToken> token;
    bool bound = false; ///< only the dispatcher incarnation in the token may handle it
    bool forwarded = false; ///< another balancer chose this zone
};

/** Finds the balancer for a message from the token, the configuration and the view of the fleet. */
class RoutePlanner
{
public:
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    /** Takes a balancer that a connection failed to; it is avoided for a short time, except for bound requests. */
    void onHostLost(const HostAddress &host, TimePoint now);
    Route plan(const RouteQuery &request, TimePoint now);

    const Configuration *configuration() const
    {
        return configuration_.get();
    }
    const FleetView *view() const
    {
        return view_.get();
    }
    ZoneChooser &zones()
    {
        return zones_;
    }
    const ZoneChooser &zones() const
    {
        return zones_;
    }

private:
    Route planBound(const FlowToken &token) const;
    std::optional<ZoneId> chooseZone(const RouteQuery &request, TimePoint now);
    Route routeToPool(const PoolId &pool, const RouteQuery &request, bool dropToken, TimePoint now) const;
    bool isAvoided(const HostAddress &host, TimePoint now) const;

    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    ZoneChooser zones_;
    absl::flat_hash_map<HostAddress, TimePoint> lostHosts_; ///< with the time until which they are avoided
};

} // namespace poplarroad

#endif
