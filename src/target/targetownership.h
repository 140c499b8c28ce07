#ifndef POPLARROAD_TARGET_TARGETOWNERSHIP_H
#define POPLARROAD_TARGET_TARGETOWNERSHIP_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Result of the last evaluation for one target; kept by the caller of TargetOwnership::owns(). */
struct OwnershipCache
{
    std::uint64_t generation = 0; ///< of the members that the result is based on; 0 for none
    std::optional<TimePoint> firstSince; ///< since when this balancer is the first one for the target
};

/**
 * Decides whether this balancer is the owner of a target: the only one of its zone that may do something.
 *
 * The owner is the first balancer by rendezvous hashing over the live members of the zone. Balancers with different
 * views may take two of them for the owner at the same time. To limit that to two, a balancer counts as the owner only
 * if its views of the last StableTime agree on it, it was not paused in that time, more than half of the known members
 * of the zone were alive in each of them, and no more than MaxLosses members were lost. Owned by one task.
 */
class TargetOwnership
{
public:
    /**
     * Longer than the time until a member that stopped is known to be dead (2.2 s), so that the previous owner has
     * either learned of its successor or lost the contact to most of the zone.
     */
    static constexpr Milliseconds StableTime{ 3000 };
    /**
     * Members that may become suspected or dead within StableTime. An isolated balancer probes one member every 500 ms,
     * so it exceeds this after 1.5 s, but notices the loss of half of 20 members only after 5 s, when its successor
     * already counts as the owner.
     */
    static constexpr std::size_t MaxLosses = 2;

    void setView(const FleetView &view, TimePoint now);
    /** Ends the ownership of all targets for StableTime, since the views of the pause are unknown. */
    void onPaused(TimePoint now)
    {
        disturbedAt_ = now;
    }
    /**
     * @param cache of this target; hashes are computed again only after a change of the members
     * @return whether this balancer is the owner
     */
    bool owns(TargetId target, OwnershipCache &cache, TimePoint now);

private:
    /** What a view says about ownership. */
    struct Membership
    {
        TimePoint since;
        bool eligible = false; ///< joined, not leaving, and more than half of the known members are alive
        std::vector<std::uint64_t> others; ///< keys of the live members except this balancer, ordered
    };

    Membership membershipOf(const FleetView &view, TimePoint now);
    /** @return whether the member said that it leaves before it was lost */
    bool leftGracefully(const HostRecord &host) const;
    void recordLeavingMembers(const FleetView &view);
    /** Ends the ownership of all targets for StableTime if too many members were lost. */
    void recordLosses(const FleetView &view, TimePoint now);
    bool isFirst(TargetId target, const Membership &membership) const;
    /** @return since when this balancer is the first one for the target, or nothing if it is not */
    std::optional<TimePoint> firstSince(TargetId target) const;
    void removeOld(TimePoint now);

    std::uint64_t self_ = 0;
    std::deque<Membership> memberships_; ///< those of the last StableTime, oldest first
    std::uint64_t generation_ = 0; ///< number of changes of `memberships_`
    std::optional<TimePoint> eligibleSince_;
    std::optional<TimePoint> disturbedAt_; ///< last pause, or last loss of too many members
    absl::flat_hash_set<HostAddress> missing_; ///< suspected and dead members that did not leave gracefully
    std::deque<TimePoint> losses_; ///< times within StableTime at which a member became missing
    absl::flat_hash_map<HostAddress, Incarnation> leavingMembers_;
};

} // namespace poplarroad

#endif
