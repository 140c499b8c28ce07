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
 * Chooses the zone of a new flow, so that the load of each zone's pool follows its capacity.
 *
 * Work stays in the own zone up to the zone's share of the capacity, and the rest goes to zones with a deficit. A
 * saturated pool sends more away, slowly and only while the receiving pool has room. One task owns it.
 */
class ZoneChooser
{
public:
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    void onPoolReport(const PoolReport &report, TimePoint now);
    /**
     * @param service a declared service
     * @param unit a random number in [0, 1), which decides between the zones by their weights
     * @return the zone, or nothing when no zone that can be reached has active targets
     */
    std::optional<ZoneId> choose(ServiceId service, double unit, TimePoint now);
    /**
     * Zone of a flow whose caller echoes no token. All balancers with the same revision choose the same zone while
     * they reach it.
     *
     * @return the zone, or nothing when no zone that can be reached has active targets
     */
    std::optional<ZoneId> chooseByHash(ServiceId service, FlowId flow) const;
    /** @return whether the zone has active targets of the service and a balancer that can be reached */
    bool isUsable(const PoolId &pool) const;
    /** @return the weight of a zone for new flows, 0 to 1; 0 for a zone that was not weighed yet */
    double weightOf(const PoolId &pool) const;
    /** @return for each zone why it gets its part of the new flows, for the operator's `explain` */
    std::vector<std::string> explain(ServiceId service) const;

private:
    /** What is known of one zone's pool of a service. */
    struct Share
    {
        ZoneId zone;
        double capacity = 0.0; ///< part of the usable slots
        double arrivals = 0.0; ///< part of the live hosts, which the fabric spreads packets over
        double base = 0.0; ///< weight without saturation
        double adjustment = 0.0; ///< added to the base because of saturation; below 0 for a saturated other zone
        double weight = 0.0;
    };
    struct Saturation
    {
        double value = 0.0;
        TimePoint at;
    };
    struct ServiceShares
    {
        std::vector<Share> shares; ///< own zone first, when it is usable
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
