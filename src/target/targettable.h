#ifndef POPLARROAD_TARGET_TARGETTABLE_H
#define POPLARROAD_TARGET_TARGETTABLE_H

#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "target/livenessdetector.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Index of a target in a TargetTable; reused only after GoneRetention and the end of the target's flows. */
using TargetIndex = Id<struct TargetIndexTag, std::uint32_t>;

/** A listed target with its flow counts and its liveness. */
struct TargetEntry
{
    ListedTarget listed;
    PacketTag tag;
    ListingState listing = ListingState::Present;
    TimePoint listingSince;
    TimePoint warmupEnd; ///< until then the target runs at reduced speed
    std::uint32_t flows = 0; ///< forwarded by this balancer, including those in the handshake
    std::uint32_t busyFlows = 0; ///< those of `flows` that wait for an answer
    std::uint32_t peerFlows = 0; ///< flows that other balancers of the zone report
    std::uint32_t peerBusyFlows = 0; ///< those of `peerFlows` that wait for an answer
    LivenessDetector detector;
};

/** Targets that are listed or were recently, indexed by id, tag and service. */
class TargetTable
{
public:
    /** How long a target is kept after its removal, so that its last flows are reset instead of dropped. */
    static constexpr std::chrono::seconds GoneRetention{ 90 };

    /**
     * Applies changes of the target list.
     *
     * @param complete the changes are the whole list: targets that are not in it become ListingState::Gone
     */
    void apply(const std::vector<TargetChange> &changes, bool complete, TimePoint now);
    /** @return the target that gets the packets with this tag, or nothing if the tag is unknown */
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
    /** @return the present and expired targets of a service, ordered by id */
    const std::vector<TargetIndex> &ofService(ServiceId service) const;
    const absl::flat_hash_map<TargetId, TargetIndex> &byId() const
    {
        return byId_;
    }

private:
    void addOrUpdate(const TargetChange &change, TimePoint now);
    void remove(TargetIndex index, TimePoint now);
    void rebuildIndexes();
    void eraseOldGoneTargets(TimePoint now);

    std::vector<TargetEntry> entries_;
    std::vector<TargetIndex> freeIndexes_; ///< of erased targets
    absl::flat_hash_map<TargetId, TargetIndex> byId_;
    absl::flat_hash_map<PacketTag, TargetIndex> byTag_;
    absl::flat_hash_map<ServiceId, std::vector<TargetIndex>> byService_;
};

} // namespace poplarroad

#endif
