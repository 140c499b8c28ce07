#ifndef POPLARROAD_SERVICE_LISTCOMPARISON_H
#define POPLARROAD_SERVICE_LISTCOMPARISON_H

#include "poplarroad/clock.h"

#include <cstdint>
#include <optional>

namespace poplarroad
{

/**
 * Notices that a balancer's target list differs from the follower's though neither lacks a change, and decides when to ask
 * the follower for its whole list.
 *
 * Changes that are on their way make lists differ for a moment, so only a difference that lasts counts. Takes the time as
 * an argument and does no I/O.
 */
class ListComparison
{
public:
    /** How long lists have to differ; longer than the delay of a change at a slow store or on a slow link. */
    static constexpr Milliseconds ToleratedTime{ 900 };
    /** Delay of the second request. It allows the follower to read the list from the store, and doubles each time. */
    static constexpr Milliseconds FirstRetryDelay{ 500 };
    /** Keeps the cost low if a difference cannot be repaired. */
    static constexpr Milliseconds MaxRetryDelay{ 60'000 };

    /**
     * Compares with a beacon of the follower; to be called only while neither list is known to lack a change.
     *
     * @param equal whether the digests are equal
     * @return whether to ask the follower for its list now
     */
    bool onBeacon(bool equal, TimePoint now);
    /** @return whether the follower was asked for its list because of a difference that still lasts */
    bool isRepairing() const
    {
        return asked_;
    }

private:
    std::optional<TimePoint> differsSince_;
    TimePoint nextRequestAt_;
    Milliseconds retryDelay_ = FirstRetryDelay;
    bool asked_ = false;
};

/**
 * Decides when a follower checks its own target list against the store, since another balancer's list differs from it.
 *
 * Either list can be the wrong one. The follower's becomes the one in force, so it is read again first; not each time,
 * since a read costs the store a call for each page. Takes the time as an argument and does no I/O.
 */
class ListVerification
{
public:
    /** How long a complete read vouches for the list; doubles with each read that changes nothing. */
    static constexpr Milliseconds FirstPeriod{ 10'000 };
    static constexpr Milliseconds MaxPeriod{ 600'000 };

    /** @return whether to read the list now */
    bool isDue(TimePoint now) const
    {
        return !readAt_ || now - *readAt_ >= period_;
    }
    /** Records a complete read of the store's current list. @param digest of the list after the read */
    void onRead(std::uint64_t digest, TimePoint now);

private:
    std::optional<TimePoint> readAt_;
    std::uint64_t digest_ = 0;
    Milliseconds period_ = FirstPeriod;
};

} // namespace poplarroad

#endif
