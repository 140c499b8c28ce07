#ifndef POPLARROAD_ZONE_ZONECHOOSER_H
#define POPLARROAD_ZONE_ZONECHOOSER_H

#include "poplarroad/clock.h"
#include "poplarroad/configuration.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/host.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/**
 * Chooses the zone of each new flow, so that the load of each zone's pool is proportional to its capacity.
 *
 * Flows stay in the own zone up to its share of the capacity; the rest goes to zones that receive less traffic than
 * their share. A saturated pool gradually spills more flows to other zones, as long as their pools have room. Not
 * thread-safe: owned by one task.
 */
class ZoneChooser
{
public:
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    void onPoolReport(const PoolReport &report, TimePoint now);
    /**
     * @param service a declared service
     * @param unit a random number in [0, 1) that selects a zone by weight
     * @return the zone, or nothing if no reachable zone has active targets
     */
    std::optional<ZoneId> choose(ServiceId service, double unit, TimePoint now);
    /**
     * Chooses the zone of a flow whose caller returns no token, by weighted rendezvous hashing. All balancers with the
     * same revision and the same set of usable zones choose the same zone.
     *
     * @return the zone, or nothing if no reachable zone has active targets
     */
    std::optional<ZoneId> chooseByHash(ServiceId service, FlowId flow) const;
    /** @return whether the zone has active targets of the service and a reachable balancer */
    bool isUsable(const PoolId &pool) const;
    /** @return the weight of a zone for new flows, 0 to 1; 0 if no weight has been computed yet */
    double weightOf(const PoolId &pool) const;
    /** @return for each zone a line with its weight and the reasons for it, for the operator command `explain` */
    std::vector<std::string> explain(ServiceId service) const;

private:
    /** Weight of one zone's pool of a service, with the figures that it is computed from. */
    struct Share
    {
        ZoneId zone;
        double capacity = 0.0; ///< fraction of the usable slots
        double arrivals = 0.0; ///< fraction of the live hosts; the fabric spreads packets evenly over them
        double base = 0.0; ///< weight without saturation
        double adjustment = 0.0; ///< added to the base for saturation; negative for another zone that is saturated
        double weight = 0.0;
    };
    struct Saturation
    {
        double value = 0.0;
        TimePoint at;
    };
    struct ServiceShares
    {
        std::vector<Share> shares; ///< own zone first, if it is usable
        TimePoint updatedAt;
        bool stale = true;
    };

    std::uint32_t liveHosts(ZoneId zone) const;
    double saturationOf(const PoolId &pool, TimePoint now) const;
    double spillThreshold(ZoneId zone) const;
    std::vector<Share> computeShares(ServiceId service) const;
    void rebuild(ServiceId service, ServiceShares &state, TimePoint now);
    void setBaseWeights(std::vector<Share> &shares) const;
    void updateWeights(ServiceId service, ServiceShares &state, TimePoint now);
    double nextAdjustment(const Share &share, double own, double other, double seconds) const;
    void markStale();

    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    absl::flat_hash_map<ServiceId, ServiceShares> services_;
    absl::flat_hash_map<PoolId, Saturation> saturations_;
};

} // namespace poplarroad

#endif
