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

/** @return whether `a` is newer news about a host than `b`; both are of one address */
bool supersedes(const HostRecord &a, const HostRecord &b);

/** A host of the zone as this balancer knows it. */
struct Member
{
    HostRecord record;
    /** When the member entered its state; for a suspected or silent member, when the suspicion began here. */
    TimePoint since{};
    bool probeFailed = false; ///< the suspicion comes from a probe of this balancer
};

/** The members of one zone, other than this balancer, with the orders in which they are probed and told news. */
class MemberList
{
public:
    MemberList(HostAddress self, SeededRandom &random);

    /** @return whether the record was newer than the known one and was taken */
    bool merge(const HostRecord &record, TimePoint now);
    Member *find(const HostAddress &address);
    /** Forgets members that have been dead since before `before`. @return their addresses */
    std::vector<HostAddress> removeDead(TimePoint before);
    /** @return members that are not dead */
    std::size_t liveCount() const
    {
        return ring_.size();
    }
    /**
     * @param distance 0 for the next member after this balancer on the ring
     * @return a live member, or nothing in a zone of one host
     */
    std::optional<HostAddress> ringSuccessor(std::size_t distance);
    /** @return the next live member in a random order that reaches each member once before any twice */
    std::optional<HostAddress> nextShuffled();
    /** @return a dead member at random, to find out whether it can be reached again */
    std::optional<HostAddress> randomDead();
    /** @return the next live record in rotation, to repair the list of a peer that differs */
    std::optional<HostRecord> nextForRepair();
    /**
     * @return the next dead record in rotation, as suspected: a peer that was cut off may hold the host as live with
     *         better reason, so it finds out for itself
     */
    std::optional<HostRecord> nextDeadForRepair();
    std::size_t deadCount() const
    {
        return dead_.size();
    }
    /** @return a sum over the live members and `self` that is equal in balancers with equal lists */
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
    std::map<HostAddress, Member> members_; ///< ordered, so that a run can be repeated from its seed
    std::vector<HostAddress> ring_; ///< live members in the order of a hash of their addresses
    std::vector<HostAddress> shuffled_; ///< members still to be chosen in this round
    std::vector<HostAddress> dead_;
    std::size_t repairCursor_ = 0;
    std::size_t deadRepairCursor_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace poplarroad

#endif
