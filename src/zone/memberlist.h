#ifndef POPLARROAD_ZONE_MEMBERLIST_H
#define POPLARROAD_ZONE_MEMBERLIST_H

#include "seededrandom.h"

#include "poplarroad/host.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace poplarroad
{

/** @return whether record `a` is newer than record `b` of the same address */
bool supersedes(const HostRecord &a, const HostRecord &b);

/** A host of the zone as this balancer knows it. */
struct Member
{
    HostRecord record;
    /** When this balancer stored the record; for a suspected member, the start of the suspicion here. */
    TimePoint since{};
    bool probeFailed = false; ///< a probe of this balancer raised the suspicion
};

/**
 * Members of the zone except this balancer, and the orders in which they are probed and receive gossip.
 *
 * The ring is the order of the live members by a hash of their addresses; each member probes its successors.
 */
class MemberList
{
public:
    MemberList(HostAddress self, SeededRandom &random);

    /** @return whether the record was newer than the known one and replaced it */
    bool merge(const HostRecord &record, TimePoint now);
    Member *find(const HostAddress &address);
    /** Removes members that have been dead since before `before`. @return their addresses */
    std::vector<HostAddress> removeDead(TimePoint before);
    /** @return the number of members that are not dead */
    std::size_t liveCount() const
    {
        return ring_.size();
    }
    /**
     * @param distance 0 for the next live member after this balancer on the ring
     * @return a live member, or nothing if there is none
     */
    std::optional<HostAddress> ringSuccessor(std::size_t distance);
    /** @return the next live member in a shuffled order that visits each member once per round */
    std::optional<HostAddress> nextShuffled();
    /** @return a random dead member, to probe whether it is reachable again */
    std::optional<HostAddress> randomDead();
    /** @return the next live record in rotation, to be sent to a peer whose digest differs */
    std::optional<HostRecord> nextForRepair();
    /**
     * @return the next dead record in rotation, changed to suspected: after a partition the peer may be right that
     *         the host is alive, so it has to verify that itself
     */
    std::optional<HostRecord> nextDeadForRepair();
    std::size_t deadCount() const
    {
        return dead_.size();
    }
    /** @return a digest of the live members and `self`; equal in balancers with equal lists */
    std::uint64_t digest(const HostRecord &self) const;

    const std::map<HostAddress, Member> &members() const
    {
        return members_;
    }

private:
    static std::uint64_t digestOf(const HostRecord &record);
    std::uint64_t ringPosition(const HostAddress &address) const;
    void addToIndexes(const HostRecord &record);
    void removeFromIndexes(const HostRecord &record);

    HostAddress self_;
    SeededRandom &random_;
    std::map<HostAddress, Member> members_; ///< ordered, so that a run is reproducible from its seed
    std::vector<HostAddress> ring_; ///< live members ordered by a hash of their addresses
    std::vector<HostAddress> shuffled_; ///< members that nextShuffled() has not returned in this round
    std::vector<HostAddress> dead_;
    std::size_t repairCursor_ = 0;
    std::size_t deadRepairCursor_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace poplarroad

#endif
