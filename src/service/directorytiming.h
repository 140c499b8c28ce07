#ifndef POPLARROAD_SERVICE_DIRECTORYTIMING_H
#define POPLARROAD_SERVICE_DIRECTORYTIMING_H

#include "poplarroad/clock.h"

#include <algorithm>

namespace poplarroad
{

/** Times of the directory, derived from the time in which a change has to be in force. */
struct DirectoryTiming
{
    /** From the store's confirmation of a change until all balancers act on it. */
    static constexpr Milliseconds ChangeDeadline{ 3000 };
    /** The same for evacuations of zones. */
    static constexpr Milliseconds EvacuationDeadline{ 5000 };

    /** How long the store holds a watch without changes; each end shows that the store answers for that part. */
    static constexpr Milliseconds ServicesWatchTime{ 1500 };
    static constexpr Milliseconds TargetsWatchTime{ 1250 };
    /** Longer ones would exceed MaxContactAge, which applies to the part that was answered longest ago. */
    static constexpr Milliseconds EvacuationsWatchTime{ 1500 };
    static constexpr Milliseconds LongestWatchTime =
        std::max({ ServicesWatchTime, TargetsWatchTime, EvacuationsWatchTime });
    /** How late a slow store ends a watch; one that answers in 400 ms is in contact. */
    static constexpr Milliseconds SlowAnswerDelay{ 600 };
    /** Delay after the end of a watch from which its call counts as failed. */
    static constexpr Milliseconds WatchAnswerTimeout{ 800 };
    /** A follower that has had no answer about a part for longer may have lost the store; others then take over. */
    static constexpr Milliseconds MaxContactAge = LongestWatchTime + SlowAnswerDelay;

    /** Interval of a follower's beacons. */
    static constexpr Milliseconds BeaconPeriod{ 300 };
    /** Allows three lost beacons before others follow. */
    static constexpr Milliseconds BeaconTimeout{ 1000 };
    /** Time from one balancer of the succession to the next; allows for a call to the store and a beacon. */
    static constexpr Milliseconds SuccessionStep{ 300 };
    /** Delay before a failed call is repeated for the first time; doubles up to MaxBackoff. */
    static constexpr Milliseconds InitialBackoff{ 50 };
    /** Time for a complete read from a store that is not slow. */
    static constexpr Milliseconds ReadTime{ 300 };
    /** Time until changes that one balancer has are in use at all others, across zones and on small machines. */
    static constexpr Milliseconds DeliveryTime{ 300 };

    static_assert(MaxContactAge + SuccessionStep + ReadTime + DeliveryTime <= ChangeDeadline,
                  "a change that the follower misses must reach all through the next one but one in the succession");
    static_assert(BeaconTimeout + SuccessionStep + ReadTime + DeliveryTime <= ChangeDeadline,
                  "a change after the loss of the follower must reach all through its successor");
    static_assert(LongestWatchTime + WatchAnswerTimeout + InitialBackoff + ReadTime + DeliveryTime <= ChangeDeadline,
                  "a follower that no other balancer hears must notice a lost watch in time");
    // Evacuations are delivered by beacons only, of which three may be lost.
    static_assert(MaxContactAge + SuccessionStep + ReadTime + BeaconTimeout + DeliveryTime <= EvacuationDeadline,
                  "an evacuation that the follower misses must reach all through its successor's beacons");
    static_assert(BeaconTimeout + SuccessionStep + ReadTime + BeaconTimeout + DeliveryTime <= EvacuationDeadline,
                  "an evacuation after the loss of the follower must reach all through its successor's beacons");
    static_assert(EvacuationsWatchTime + WatchAnswerTimeout + InitialBackoff + ReadTime + BeaconTimeout + DeliveryTime
                      <= EvacuationDeadline,
                  "an evacuation that a lost watch missed must reach all through beacons in time");
};

} // namespace poplarroad

#endif
