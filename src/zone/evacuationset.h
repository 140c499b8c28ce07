#ifndef POPLARROAD_ZONE_EVACUATIONSET_H
#define POPLARROAD_ZONE_EVACUATIONSET_H

#include "poplarroad/clock.h"
#include "poplarroad/directory.h"

#include <utility>
#include <vector>

namespace poplarroad
{

/** A zone whose evacuation began or ended. */
struct ZoneChange
{
    ZoneId zone;
    bool evacuated = false;

    friend bool operator==(const ZoneChange &, const ZoneChange &) = default;
};

/** What changed the set of evacuated zones. */
enum class EvacuationSource : std::uint8_t {
    Store,
    Peer,
    HoldTime, ///< the end of EvacuationSet::HoldTime
};

template<>
struct EnumNames<EvacuationSource>
{
    static constexpr std::array table{
        EnumName<EvacuationSource>{ EvacuationSource::Store, "store" },
        EnumName<EvacuationSource>{ EvacuationSource::Peer, "peer" },
        EnumName<EvacuationSource>{ EvacuationSource::HoldTime, "hold-time" },
    };
};

/**
 * The zones whose targets accept no new flows: of all sets that the store and peers sent, the one with the largest
 * revision.
 *
 * After the store returned from an older copy, which starts a new era of revisions, the zones that were evacuated before
 * stay so for HoldTime, since the copy may lack their entries until the operator writes them again. Does no I/O; owned
 * by one task.
 */
class EvacuationSet
{
public:
    /** Time for an operator to write entries again that a restored copy of the store lacks. */
    static constexpr Milliseconds HoldTime{ 10'000 };

    /**
     * Applies the complete list of the store.
     *
     * @param truncated entries may be missing at the end: no evacuation ends, and until the next complete list the set
     *     keeps its revision, since peers must not take it for complete
     * @return whether zones were evacuated or returned; see takeChanges()
     */
    bool applyList(Revision revision, const std::vector<EvacuationChange> &entries, bool truncated, TimePoint now);
    /** Applies changes of the store, in their order, to the known set. @return see applyList() */
    bool applyChanges(Revision revision, const std::vector<EvacuationChange> &changes, TimePoint now);
    /**
     * Applies the set of a peer, if its revision is larger than the known one. Of two sets with the same revision, the
     * zones that both have stay evacuated, so that the end of a peer's hold time is known here.
     *
     * @return see applyList()
     */
    bool applyPeer(const ZoneEvacuations &set, TimePoint now);
    /**
     * Ends the evacuations whose hold time is over; to be called at nextTimer().
     *
     * @param knownUntil until when the set is known to be that of the store: without the store, and after a pause, an
     *     entry that was written again may not be known yet
     * @return see applyList()
     */
    bool onTimer(TimePoint now, TimePoint knownUntil = TimePoint::max());
    /** @return when the hold time ends, or TimePoint::max() */
    TimePoint nextTimer() const
    {
        return held_.empty() ? TimePoint::max() : heldUntil_;
    }
    /** @return whether the store or a peer has sent a set */
    bool isKnown() const
    {
        return current_.revision.value != 0;
    }
    /** @return the revision of the last result of the store, from which its changes are to be asked; 0 if there is none */
    Revision storeRevision() const
    {
        return storeRevision_;
    }
    /** @return the set in force */
    const ZoneEvacuations &current() const
    {
        return current_;
    }
    /** @return the changes of the set in force since the last call */
    std::vector<ZoneChange> takeChanges()
    {
        return std::exchange(changes_, {});
    }

private:
    /** Replaces the listed zones unless the revision is smaller than the known one. @return see applyList() */
    bool replace(Revision revision, std::vector<ZoneId> zones, TimePoint now);
    /** Computes the set in force. @return whether it changed */
    bool update();

    std::vector<ZoneId> listed_; ///< ordered
    std::vector<ZoneId> held_; ///< evacuated when the era of the store changed; ordered
    TimePoint heldUntil_;
    Revision storeRevision_; ///< of the last result of the store
    std::vector<ZoneId> store_; ///< of the last result of the store, which the next changes apply to
    bool metPeerOfRevision_ = false; ///< whether a peer sent a set that is not older than this one
    bool truncated_ = false; ///< the store's last list was truncated
    ZoneEvacuations current_;
    std::vector<ZoneChange> changes_;
};

} // namespace poplarroad

#endif
