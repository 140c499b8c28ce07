#ifndef POPLARROAD_TARGET_TARGETTABLE_H
#define POPLARROAD_TARGET_TARGETTABLE_H

#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "target/livenessdetector.h"
#include "target/targetclaims.h"
#include "target/targetevidence.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarroad
{

/** A listed target with its flow counts and its liveness. */
struct TargetEntry
{
    ListedTarget listed;
    PacketTags tags{};
    ListingState listing = ListingState::Present;
    TimePoint knownSince; ///< when the entry was added to the table
    std::uint64_t claimedNumber = 0; ///< Target::number, by which the table finds the entry
    TimePoint listingSince;
    TimePoint missingSince; ///< when the entry disappeared, of a target that is expired or gone
    TimePoint warmupEnd; ///< until then the target runs at reduced speed
    std::uint32_t flows = 0; ///< forwarded by this balancer, including those in the handshake
    std::uint32_t busyFlows = 0; ///< those of `flows` that wait for an answer
    std::uint32_t peerFlows = 0; ///< flows that other balancers of the zone report
    std::uint32_t peerBusyFlows = 0; ///< those of `peerFlows` that wait for an answer
    LivenessDetector detector;
    TargetEvidence evidence; ///< maintained by TargetComparison

    /** Answers that were on their way when the entry disappeared arrive within this time. */
    static constexpr Milliseconds AnswerDelay{ 200 };
    /** A target without any answer for this long is taken for ended once its entry is gone. */
    static constexpr Milliseconds MaxAnswerAge{ 1000 };

    /**
     * Callers' acknowledgements of answers are evidence against a list that lacks the target.
     *
     * @return whether the target has answered since its entry disappeared, and lately
     */
    bool answersUnlisted(TimePoint now) const
    {
        const Milliseconds sinceAnswer(detector.sinceProgressMs(now));
        return listing != ListingState::Present && sinceAnswer <= MaxAnswerAge
            && now - sinceAnswer >= missingSince + AnswerDelay;
    }
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
    /**
     * Of several targets with the tag, the listed ones go first, then the one whose process started first. That order is
     * the same on every balancer, and an entry that expires and returns keeps its place in it: the later process was
     * never given the tag while the other one was known.
     *
     * @return the target that gets the packets with this tag, or nothing if the tag is unknown
     */
    std::optional<TargetIndex> find(PacketTag tag) const;
    /** @return a tag that no other known target has, for the flows of this one; empty if there is none */
    PacketTag ownTag(TargetIndex index) const;
    /** @return whether several targets have the tag, one of which is this one */
    bool sharesTag(TargetIndex index, PacketTag tag) const;
    /** @return the number of tags that several targets have */
    std::size_t sharedTags() const
    {
        return byTag_.sharedKeys();
    }
    std::optional<TargetIndex> find(TargetId id) const;
    TargetEntry &at(TargetIndex index)
    {
        return entries_[index.value];
    }
    const TargetEntry &at(TargetIndex index) const
    {
        return entries_[index.value];
    }
    /**
     * Two entries can have the same number, which packets to a target carry. The one that is known for longer gets the
     * new flows; of two that became known together, the one with the shorter name, then the smaller one. If they are the
     * same process and one of them says that it drains, none gets new flows.
     *
     * @return whether the target may get new flows as far as its number is concerned
     */
    bool ownsNumber(TargetIndex index) const;
    /** @return a listed target that is the same process under another name, or nothing */
    std::optional<TargetIndex> twinOf(TargetIndex index) const;
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
    /** Records that packets to the target carry this number; 0 withdraws the claim. */
    void claimNumber(TargetIndex index, std::uint64_t number);
    bool isSameProcess(TargetIndex first, TargetIndex second) const;
    bool isListed(TargetIndex index) const
    {
        return at(index).listing != ListingState::Gone;
    }
    void eraseOldGoneTargets(TimePoint now);

    std::vector<TargetEntry> entries_;
    std::vector<TargetIndex> freeIndexes_; ///< of erased targets
    absl::flat_hash_map<TargetId, TargetIndex> byId_;
    TargetClaims<PacketTag> byTag_;
    TargetClaims<std::uint64_t> byNumber_;
    absl::flat_hash_map<ServiceId, std::vector<TargetIndex>> byService_;
};

} // namespace poplarroad

#endif
