#include "routeplanner.h"

#include "poplarroad/visitor.h"

namespace poplarroad
{

namespace
{

/** Time until the membership reports a dead host: probe, suspicion and dissemination. */
constexpr Milliseconds LostHostAvoidTime{ 2200 };

/** @return a number in [0, 1) that is the same for all messages of a flow, so that repeats take the same route */
double flowFraction(FlowId flow, ServiceId service)
{
    return static_cast<double>(rendezvousWeight(service.value, flow.value) >> 11) * 0x1p-53;
}

} // namespace

bool mustDropToken(const Route &route)
{
    return std::visit(Visitor{
                          [](const LocalRoute &local) { return local.dropToken; },
                          [](const RemoteRoute &remote) { return remote.dropToken; },
                          [](const auto &) { return false; },
                      },
                      route);
}

void RoutePlanner::setConfiguration(ConfigurationPtr configuration)
{
    configuration_ = configuration;
    zones_.setConfiguration(std::move(configuration));
}

void RoutePlanner::setView(std::shared_ptr<const FleetView> view)
{
    view_ = view;
    zones_.setView(std::move(view));
}

void RoutePlanner::onHostLost(const HostAddress &host, TimePoint now)
{
    absl::erase_if(lostHosts_, [&](const auto &lost) { return lost.second <= now; });
    lostHosts_[host] = now + LostHostAvoidTime;
}

bool RoutePlanner::isAvoided(const HostAddress &host, TimePoint now) const
{
    const auto found = lostHosts_.find(host);
    return found != lostHosts_.end() && found->second > now;
}

Route RoutePlanner::plan(const RouteQuery &query, TimePoint now)
{
    if (!configuration_ || !view_) {
        return query.bound ? Route(BoundDispatcherLost{}) : Route(NoRoute{});
    }
    if (query.bound) {
        return planBound(*query.token);
    }
    if (query.token) {
        const PoolId pool{ query.service, query.token->zone };
        if (zones_.isUsable(pool)) {
            return routeToPool(pool, query, false, now);
        }
    }
    const auto zone = chooseZone(query, now);
    return zone ? routeToPool({ query.service, *zone }, query, query.token.has_value(), now) : Route(NoRoute{});
}

Route RoutePlanner::planBound(const FlowToken &token) const
{
    const PoolId pool{ token.service, token.zone };
    if (token.dispatcher == view_->self) {
        return token.incarnation == view_->incarnation ? Route(LocalRoute{ pool }) : Route(BoundDispatcherLost{});
    }
    if (token.zone == view_->zone) {
        const HostRecord *host = view_->findHost(token.dispatcher);
        // After a restart the host may be known here only by its earlier incarnation; it checks the token itself.
        const bool lost = host && host->state == HostState::Dead && host->incarnation == token.incarnation;
        return lost ? Route(BoundDispatcherLost{}) : Route(RemoteRoute{ pool, token.dispatcher });
    }
    // Incarnations of hosts in other zones are not known here; the receiver checks the token against its own.
    const ZoneSummary *zone = view_->findZone(token.zone);
    return zone && zone->reachable ? Route(RemoteRoute{ pool, token.dispatcher }) : Route(BoundDispatcherLost{});
}

std::optional<ZoneId> RoutePlanner::chooseZone(const RouteQuery &query, TimePoint now)
{
    if (query.forwarded && zones_.isUsable({ query.service, view_->zone })) {
        return view_->zone;
    }
    if (query.sequence > 1 && !query.token) {
        return zones_.chooseByHash(query.service, query.flow);
    }
    return zones_.choose(query.service, flowFraction(query.flow, query.service), now);
}

Route RoutePlanner::routeToPool(const PoolId &pool, const RouteQuery &query, bool dropToken, TimePoint now) const
{
    if (pool.zone == view_->zone) {
        const HostRecord *host = dispatcherOf(pool, *view_);
        if (!host) {
            return NoRoute{};
        }
        return host->address == view_->self ? Route(LocalRoute{ pool, dropToken })
                                            : Route(RemoteRoute{ pool, host->address, dropToken });
    }
    if (query.token && query.token->bindsToDispatcher() && !dropToken && !isAvoided(query.token->dispatcher, now)) {
        return RemoteRoute{ pool, query.token->dispatcher, false };
    }
    const auto &gateways = view_->findZone(pool.zone)->gateways;
    const std::size_t first = rendezvousWeight(query.flow.value, pool.key()) % gateways.size();
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        const HostAddress &gateway = gateways[(first + i) % gateways.size()];
        if (!isAvoided(gateway, now)) {
            return RemoteRoute{ pool, gateway, dropToken };
        }
    }
    return RemoteRoute{ pool, gateways[first], dropToken };
}

} // namespace poplarroad
