#ifndef POPLARROAD_TARGET_TARGETTABLE_H
#define POPLARROAD_TARGET_TARGETTABLE_H

#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "target/targetevidence.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Index of a target in a TargetTable; stable while the table lives. */
using TargetIndex = Id<struct TargetIndexTag, std::uint32_t>;

/** A target with what this balancer sees of it. */
struct TargetEntry
{
    ListedTarget listed;
    PacketTag tag;
    Listing listing = Listing::Present;
    TimePoint listingSince;
    TimePoint warmupEnd; ///< until then it is slow
    std::uint32_t flows = 0; ///< open or opening, seen by this balancer
    std::uint32_t busyFlows = 0; ///< flows of these that wait for an answer
    std::uint32_t peerFlows = 0; ///< flows that other balancers of the zone reported
    std::uint32_t peerBusyFlows = 0;
    LivenessDetector detector;
};

/** The targets that are or were listed, found by id or by tag. */
class TargetTable
{
public:
    /** How long a target that is gone is remembered, so that its last flows are told. */
    static constexpr std::chrono::seconds GoneRetention{ 90 };

    /**
     * Takes changes of the list.
     *
     * @param complete the changes are the whole list, so every other target is gone
     */
    void apply(const std::vector<TargetChange> &changes, bool complete, TimePoint now);
    /** @return the target that the tag names, or nothing when none is known */
    std::optional<TargetIndex> find(PacketTag tag) const;
    std::optional<TargetIndex> find(TargetId id) const;
    TargetEntry &at(TargetIndex index)
    {
        return entries_[index.value];
    }
    const TargetEntry &at(TargetIndex index) const
    {
        return entries_[index.value];
    }
    /** @return the targets of a service that are present or lapsed, in a fixed order */
    const std::vector<TargetIndex> &ofService(ServiceId service) const;
    const absl::flat_hash_map<TargetId, TargetIndex> &byId() const
    {
        return byId_;
    }

private:
    void addOrUpdate(const TargetChange &change, TimePoint now);
    void remove(TargetIndex index, TimePoint now);
    void index();
    void eraseOldGoneTargets(TimePoint now);

    std::vector<TargetEntry> entries_;
    std::vector<TargetIndex> free_;
    absl::flat_hash_map<TargetId, TargetIndex> byId_;
    absl::flat_hash_map<PacketTag, TargetIndex> byTag_;
    absl::flat_hash_map<ServiceId, std::vector<TargetIndex>> byService_;
};

} // namespace poplarroad

#endif
