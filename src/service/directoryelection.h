#ifndef POPLARROAD_SERVICE_DIRECTORYELECTION_H
#define POPLARROAD_SERVICE_DIRECTORYELECTION_H

#include "poplarroad/clock.h"
#include "poplarroad/fleetmessages.h"
#include "poplarroad/storerevision.h"
#include "service/directorytiming.h"

#include <optional>

namespace poplarroad
{

/** The directory versions that this balancer has. */
struct DirectoryState
{
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< revision of the last change of the target list
    std::optional<TimePoint> lastContact; ///< see DirectorySync::contact(); unset if there was none
    std::uint64_t targetsDigest = 0; ///< see DirectoryBeacon::targetsDigest
    std::optional<TimePoint> targetsContact; ///< when the store last confirmed the target list; unset if it did not
    ZoneEvacuations evacuations; ///< empty if evacuations are not used
};

/** What a follower's beacon says about its target list. */
struct FollowerTargets
{
    Revision lastChange; ///< of the follower's list
    TimePoint knownUntil; ///< until when that list is known to be that of the store
    Revision evacuations; ///< of the follower's set of evacuations
    TimePoint contact; ///< when the store last answered the follower for all parts
};

/**
 * Elects the balancers that follow the store, which means that they watch it for changes of the directory.
 *
 * Followers send beacons. While a balancer receives the beacons of a follower with recent contact to the store, it does
 * not follow and gets the content from its peers. When the beacons stop, or their sender loses the store, the balancers
 * of each zone take over in the order of their rank, one after the other, until one of them has contact. The calls to
 * the store after a loss therefore depend on the number of zones, not on the number of balancers. No consensus is
 * needed: several followers only cost additional calls, and of two with contact the one with the higher rank continues.
 * One whose list is of a later era of the store is preferred whatever its rank.
 */
class DirectoryElection
{
public:
    static constexpr Milliseconds BeaconPeriod = DirectoryTiming::BeaconPeriod;
    static constexpr Milliseconds BeaconTimeout = DirectoryTiming::BeaconTimeout;
    static constexpr Milliseconds MaxContactAge = DirectoryTiming::MaxContactAge;
    static constexpr Milliseconds SuccessionStep = DirectoryTiming::SuccessionStep;
    /** How long a balancer that starts waits for beacons. */
    static constexpr Milliseconds StartupDelay{ 400 };
    /** Delay in place of the position's while the others of the zone are not known yet; longer than joining it takes. */
    static constexpr Milliseconds UnjoinedDelay{ 1200 };

    /** @param rank of several balancers the one with the highest rank follows; equal ranks are ordered by address */
    DirectoryElection(const HostAddress &self, std::uint64_t rank, TimePoint startedAt);

    /**
     * Sets the balancers of the own zone, which determine this balancer's position in the succession.
     *
     * @param members not called before this balancer has joined its zone
     */
    void setMembers(const std::vector<HostRecord> &members);
    void onBeacon(const DirectoryBeacon &beacon, TimePoint now);
    /**
     * Decides whether this balancer follows.
     *
     * @param lastContact until when the store answered this balancer for both parts
     * @param mayFollow false while this balancer leaves
     * @param era of this balancer's target list
     * @return whether the result of follows() changed
     */
    bool update(std::optional<TimePoint> lastContact, bool mayFollow, TimePoint now, StoreEra era = 0);
    /** @return whether this balancer has to follow the store */
    bool follows() const
    {
        return follows_;
    }
    /** @return the target list of the follower whose beacons this balancer hears, or nothing if there is none */
    std::optional<FollowerTargets> followerTargets(TimePoint now) const;
    /** @return number of balancers of the zone that take over before this one */
    std::size_t position() const
    {
        return position_.value_or(0);
    }
    /**
     * Beacons are sent without contact to the store too, so that balancers can still learn from each other when none of
     * them reaches the store.
     *
     * @return the beacon to send now, if this balancer follows and one is due
     */
    std::optional<DirectoryBeacon> beacon(const DirectoryState &state, TimePoint now);
    /** @return the beacon of the follower that this balancer knows, which may be itself, to be passed on; or nothing */
    std::optional<DirectoryBeacon> knownBeacon(const DirectoryState &state, TimePoint now) const;
    /** @return a beacon that announces that this balancer no longer follows, so that another one takes over at once */
    DirectoryBeacon farewell(const DirectoryState &state) const;
    /** @return when the result of update() or beacon() can change */
    TimePoint nextTimer(TimePoint now) const;

private:
    /** A beacon that another balancer sent. */
    struct HeardBeacon
    {
        DirectoryBeacon beacon;
        TimePoint receivedAt;
        TimePoint lastContact; ///< when the store last answered the sender
        TimePoint targetsContact; ///< when it last confirmed the sender's target list
    };

    DirectoryBeacon ownBeacon(const DirectoryState &state, TimePoint now) const;
    static bool isFresh(const HeardBeacon &heard, TimePoint now)
    {
        return now - heard.receivedAt < BeaconTimeout && now - heard.lastContact < MaxContactAge;
    }
    bool hasFreshFollower(TimePoint now) const
    {
        return bestFollower_ && isFresh(*bestFollower_, now);
    }
    Milliseconds successionDelay() const
    {
        return position_ ? SuccessionStep * static_cast<std::int64_t>(*position_) : UnjoinedDelay;
    }
    /** @return whether the sender of a beacon is preferred to another follower */
    static bool isBetter(const DirectoryBeacon &beacon, StoreEra era, std::uint64_t rank, const HostAddress &host);

    HostAddress self_;
    std::uint64_t rank_;
    std::optional<std::size_t> position_; ///< unknown before this balancer has joined its zone
    bool follows_ = false;
    bool mayFollow_ = true;
    bool announcedContact_ = false; ///< whether the last beacon told of recent contact
    std::optional<HeardBeacon> bestFollower_; ///< from the highest-ranked follower with recent contact
    std::optional<TimePoint> vacantSince_; ///< since when no follower with recent contact was heard
    TimePoint nextBeacon_;
};

} // namespace poplarroad

#endif
