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

/** The dispatcher of the pool is in this process. */
struct LocalRoute
{
    PoolId pool;
    bool dropToken = false; ///< the flow moves away from the pool that its token names
};

/** The dispatcher or a gateway to it is another balancer. */
struct RemoteRoute
{
    PoolId pool;
    HostAddress host;
    bool dropToken = false; ///< see LocalRoute::dropToken
};

/** No reachable zone has active targets, or no host of this zone can dispatch the pool. */
struct NoRoute
{
};

/** The dispatcher incarnation that the token binds to has ended or is unreachable. */
struct BoundDispatcherLost
{
};

using Route = std::variant<LocalRoute, RemoteRoute, NoRoute, BoundDispatcherLost>;

/** @return whether the token has to be removed before the message is sent */
bool mustDropToken(const Route &route);

/** The fields of a message that decide its route. */
struct RouteQuery
{
    ServiceId service;
    FlowId flow;
    std::uint64_t sequence = 0;
    std::optional<FlowToken> token;
    bool bound = false; ///< only the dispatcher incarnation in the token may handle it
    bool forwarded = false; ///< another balancer chose this zone
};

/** Chooses the balancer that handles a message, by its token, the configuration and the fleet view. */
class RoutePlanner
{
public:
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    /** Records a failed connection to a balancer, which is then avoided for a short time except by bound requests. */
    void onHostLost(const HostAddress &host, TimePoint now);
    Route plan(const RouteQuery &query, TimePoint now);

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
    std::optional<ZoneId> chooseZone(const RouteQuery &query, TimePoint now);
    /** @return the route to the dispatcher of a pool, for another zone through one of its gateways */
    Route routeToPool(const PoolId &pool, const RouteQuery &query, bool dropToken, TimePoint now) const;
    bool isAvoided(const HostAddress &host, TimePoint now) const;

    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    ZoneChooser zones_;
    absl::flat_hash_map<HostAddress, TimePoint> lostHosts_; ///< time until which each host is avoided
};

} // namespace poplarroad

#endif
