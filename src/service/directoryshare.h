#ifndef POPLARROAD_SERVICE_DIRECTORYSHARE_H
#define POPLARROAD_SERVICE_DIRECTORYSHARE_H

#include "poplarroad/clock.h"
#include "poplarroad/fleetmessages.h"

#include <optional>

namespace poplarroad
{

/** What this balancer holds of the directory. */
struct DirectoryState
{
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< of the last change
    std::optional<TimePoint> contact; ///< when the store last answered this balancer
};

/**
 * Decides which balancers follow the store.
 *
 * Every balancer may. One that hears the beacon of a better-ranked one whose contact with the store is fresh leaves it to
 * that one and takes the content from there. Nothing has to be agreed: two that follow cost calls only, and silence of the
 * beacon makes others follow.
 */
class DirectoryElection
{
public:
    /** How often a follower tells that it follows. */
    static constexpr Milliseconds BeaconPeriod{ 300 };
    /** Three beacons can be lost before others follow; a change has to be in force within 3 s. */
    static constexpr Milliseconds BeaconTimeout{ 1000 };
    /** A follower whose last answer is older may have lost the store. */
    static constexpr Milliseconds MaxContactAge{ 1600 };
    /** How long content that was asked for may take before it is asked for again. */
    static constexpr Milliseconds RequestTimeout{ 200 };
    /** How long a balancer that starts asks others for what they know, which the store may not have at the moment. */
    static constexpr Milliseconds StartupQueryTime{ 2000 };
    /** After this, the store is asked instead of the peer. */
    static constexpr Milliseconds StoreFallbackDelay{ 500 };

    DirectoryElection(const HostAddress &self, std::uint64_t rank);

    /** What to do about a beacon. */
    struct Reaction
    {
        std::optional<DirectoryRequest> request; ///< for the sender of the beacon
        bool readStore = false; ///< the peers do not deliver
    };
    Reaction onBeacon(const DirectoryBeacon &beacon, const DirectoryState &state, TimePoint now);
    /** @return whether this balancer has to follow the store itself */
    bool follows(TimePoint now) const;
    /**
     * The beacon is due without contact to the store too, so that balancers of which none reaches it learn from each other.
     *
     * @return the beacon to send now, if one is due
     */
    std::optional<DirectoryBeacon> beacon(const DirectoryState &state, TimePoint now);
    /** @return when follows() or beacon() can change */
    TimePoint nextTimer(TimePoint now) const;

private:
    struct HeardBeacon
    {
        std::uint64_t rank = 0;
        HostAddress follower;
        TimePoint at;
        TimePoint contact;
    };

    bool isFresh(const HeardBeacon &heard, TimePoint now) const
    {
        return now - heard.at < BeaconTimeout && now - heard.contact < MaxContactAge;
    }

    HostAddress self_;
    std::uint64_t rank_;
    std::optional<HeardBeacon> bestFollower_; ///< the best-ranked one of those that were fresh
    TimePoint nextBeacon_;
    std::optional<TimePoint> behindSince_;
    TimePoint nextRequest_;
};

} // namespace poplarroad

#endif
