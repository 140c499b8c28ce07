#ifndef POPLARROAD_TARGET_WARMUPLIMITER_H
#define POPLARROAD_TARGET_WARMUPLIMITER_H

#include "poplarroad/directory.h"
#include "poplarroad/host.h"
#include "target/placementwindow.h"
#include "target/targetownership.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace poplarroad
{

/** Settings of the limit, which apply to all services. */
struct WarmupBounds
{
    double overage = 1.0; ///< factor of what a service declares
    double slack = 0.0; ///< new flows per second in addition
};

/** What the limiter has counted since the last call of WarmupLimiter::takeCounts(). */
struct WarmupCounts
{
    std::uint64_t placements = 0; ///< opening packets that were sent to cold targets
    std::uint64_t deferred = 0; ///< new flows for which a cold target was passed over
};

/**
 * Limits the new flows to targets that are cold, which means that they warm up or that their zone returned to service.
 *
 * A cold target accepts at most `perSecond * overage + slack` new flows in any second, from all balancers together. Only
 * the owner of the target (TargetOwnership) opens flows to it, and uses at most half of the bound, so that two balancers
 * that both count as the owner stay within it. A bound below 2 leaves no flow to either of them: half a flow cannot be
 * opened, and no balancer can know that it is the only owner. docs/design/cold-targets.md has the reasons.
 *
 * A target whose service declares no limit is not limited. Does no I/O; owned by one task.
 */
class WarmupLimiter
{
public:
    /**
     * How long the targets of a zone count as cold after its evacuation has ended. Their entries say so too, but may
     * arrive later than the end of the evacuation: a change is in force on all balancers within 3 s.
     */
    static constexpr Milliseconds ReturnedZoneTime{ 3000 };

    /** @param zone of this balancer */
    explicit WarmupLimiter(ZoneId zone)
        : zone_(zone)
    {
    }

    /** Enables the limit. */
    void setBounds(WarmupBounds bounds)
    {
        bounds_ = bounds;
    }
    /** Sets the limits that the services declare. */
    void setServices(ServiceMapPtr services)
    {
        services_ = std::move(services);
    }
    void setView(const FleetView &view, TimePoint now)
    {
        ownership_.setView(view, now);
    }
    /** Ends the ownership of all targets after this balancer did not run for a while. */
    void onPaused(TimePoint now)
    {
        ownership_.onPaused(now);
    }
    /** To be called when the evacuation of a zone has ended. */
    void onZoneReturned(ZoneId zone, TimePoint now);
    /** @return whether a new flow may be opened to the target now; always true for a target that is not limited */
    bool mayOpenFlow(const TargetEntry &target, TimePoint now);
    /** @return whether a copy of an opening packet may go to its target again: not to a cold target of another owner */
    bool mayRetransmit(const TargetEntry &target, TimePoint now)
    {
        return limitOf(target, now) == nullptr || ownsColdTarget(target, now);
    }
    /** Records that an opening packet is forwarded to the target, also if it has to be without mayOpenFlow(). */
    void onFlowPlaced(const TargetEntry &target, TimePoint now);
    /** Records that one or more cold targets were passed over for a new flow. */
    void onFlowDeferred()
    {
        ++counts_.deferred;
    }
    /** @return whether the target is limited now and this balancer is its owner */
    bool ownsColdTarget(const TargetEntry &target, TimePoint now);
    /** Removes what is no longer needed; to be called about once per second. */
    void expire(TimePoint now);
    /** @return the counts since the last call */
    WarmupCounts takeCounts()
    {
        return std::exchange(counts_, {});
    }
    /** @return number of targets that have state here */
    std::size_t trackedTargets() const
    {
        return targets_.size();
    }

private:
    /** State of a cold target of the own zone. */
    struct ColdTarget
    {
        OwnershipCache ownership;
        PlacementWindow placements;
        TimePoint usedAt;
    };

    bool isCold(const TargetEntry &target, TimePoint now) const;
    /** @return the limit that applies to the target now, or nullptr if it is not limited */
    const WarmupLimit *limitOf(const TargetEntry &target, TimePoint now) const;
    /** @return new flows that one balancer may open within PlacementWindow::Length */
    std::uint32_t ownShare(const WarmupLimit &limit) const;
    ColdTarget &stateOf(const TargetEntry &target, TimePoint now);

    ZoneId zone_;
    std::optional<WarmupBounds> bounds_;
    ServiceMapPtr services_;
    TargetOwnership ownership_;
    absl::flat_hash_map<TargetId, ColdTarget> targets_;
    absl::flat_hash_map<ZoneId, TimePoint> zonesColdUntil_;
    WarmupCounts counts_;
};

} // namespace poplarroad

#endif
