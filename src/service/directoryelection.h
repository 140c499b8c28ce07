#ifndef POPLARROAD_SERVICE_DIRECTORYELECTION_H
#define POPLARROAD_SERVICE_DIRECTORYELECTION_H

#include "poplarroad/clock.h"
#include "poplarroad/fleetmessages.h"

#include <optional>

namespace poplarroad
{

/** The directory versions that this balancer has. */
struct DirectoryState
{
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< revision of the last change of the target list
    std::optional<TimePoint> lastContact; ///< when the store last answered this balancer; unset if it never did
};

/**
 * Elects the balancers that follow the store, which means that they watch it for changes of the directory.
 *
 * Followers send beacons. A balancer that receives the beacon of a higher-ranked follower with recent contact to the
 * store stops following and gets the content from that peer. No consensus is needed: several followers only cost
 * additional calls, and if beacons stop, other balancers start to follow.
 */
class DirectoryElection
{
public:
    /** Interval of a follower's beacons. */
    static constexpr Milliseconds BeaconPeriod{ 300 };
    /** Allows three lost beacons before others follow. A change has to take effect within 3 s. */
    static constexpr Milliseconds BeaconTimeout{ 1000 };
    /** A follower whose last answer from the store is older may have lost the store. */
    static constexpr Milliseconds MaxContactAge{ 1600 };
    /** Time after which content that a peer has not sent is requested again. */
    static constexpr Milliseconds RequestTimeout{ 200 };
    /** How long a starting balancer asks its peers for their content, which the store may have lost for the moment. */
    static constexpr Milliseconds StartupQueryTime{ 2000 };
    /** How long a balancer may stay behind its peers before it reads the store itself. */
    static constexpr Milliseconds StoreFallbackDelay{ 500 };

    /** @param rank of several balancers the one with the highest rank follows; equal ranks are ordered by address */
    DirectoryElection(const HostAddress &self, std::uint64_t rank);

    /** What to do after a beacon. */
    struct Reaction
    {
        std::optional<DirectoryRequest> request; ///< to be sent to the sender of the beacon
        bool readStore = false; ///< read the store, since the peers did not send the content in time
    };
    Reaction onBeacon(const DirectoryBeacon &beacon, const DirectoryState &state, TimePoint now);
    /** @return whether this balancer has to follow the store */
    bool follows(TimePoint now) const;
    /**
     * Beacons are sent without contact to the store too, so that balancers can still learn from each other when none of
     * them reaches the store.
     *
     * @return the beacon to send now, if one is due
     */
    std::optional<DirectoryBeacon> beacon(const DirectoryState &state, TimePoint now);
    /** @return when the result of follows() or beacon() can change */
    TimePoint nextTimer(TimePoint now) const;

private:
    /** A beacon that another balancer sent. */
    struct HeardBeacon
    {
        std::uint64_t rank = 0;
        HostAddress follower;
        TimePoint receivedAt;
        TimePoint lastContact; ///< when the store last answered the sender
    };

    bool isFresh(const HeardBeacon &heard, TimePoint now) const
    {
        return now - heard.receivedAt < BeaconTimeout && now - heard.lastContact < MaxContactAge;
    }

    HostAddress self_;
    std::uint64_t rank_;
    std::optional<HeardBeacon> bestFollower_; ///< from the highest-ranked follower with recent contact
    TimePoint nextBeacon_;
    std::optional<TimePoint> behindSince_; ///< since when beacons show newer content
    TimePoint nextRequest_; ///< no request to a peer before it
};

} // namespace poplarroad

#endif
