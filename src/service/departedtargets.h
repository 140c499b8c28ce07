#ifndef POPLARROAD_SERVICE_DEPARTEDTARGETS_H
#define POPLARROAD_SERVICE_DEPARTEDTARGETS_H

#include "poplarroad/clock.h"
#include "poplarroad/directory.h"
#include "poplarroad/storerevision.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <vector>

namespace poplarroad
{

/**
 * Remembers targets that left, so that a copy of the store that still lists them does not bring them back into use.
 *
 * After the store returned from a copy, a listed entry of a target that left in an earlier era is withheld until the
 * entry is written again, or is still listed when the entry of a dead target would have expired. Takes the time as an
 * argument and does no I/O.
 */
class DepartedTargets
{
public:
    /** A copy is some seconds old, and the store may be unavailable for a minute before it returns. */
    static constexpr Milliseconds MemoryTime{ 90'000 };
    /** Time after the first list of an era until the entry of a target that no longer runs has expired. */
    static constexpr Milliseconds HoldTime{ 5000 };
    /** Departures that are remembered, the latest ones; at about 50 bytes each. */
    static constexpr std::size_t MaxDepartures = 4096;

    /**
     * Records that a target left: it drains, or its entry was removed.
     *
     * @param revision of the list that shows it
     */
    void onLeft(const ListedTarget &target, Revision revision, TimePoint now);
    /** Begins an era, unless it has begun. @param firstList revision of the first list of the era */
    void beginEra(Revision firstList, TimePoint now);
    /**
     * Decides about a listed entry; to be called for each one that is listed or written.
     *
     * @return whether the entry is withheld: the target is not to be used because of it
     */
    bool withholds(const TargetChange &listed, TimePoint now);
    /** Withholds a listed entry that a peer withholds. @return whether it was not withheld yet and the hold goes on */
    bool withholdAsPeer(TargetId target, TimePoint now)
    {
        return now < holdUntil_ && withheld_.insert(target).second;
    }
    /** Ends the withholding of an entry that is no longer listed. */
    void onUnlisted(TargetId target)
    {
        withheld_.erase(target);
    }
    /** @return the revision of the list that showed that the target left; 0 if none is remembered */
    Revision leftAt(TargetId target) const
    {
        const auto known = departures_.find(target);
        return known == departures_.end() ? Revision{} : known->second.revision;
    }
    bool isWithheld(TargetId target) const
    {
        return withheld_.contains(target);
    }
    /** @return the withheld entries */
    const absl::flat_hash_set<TargetId> &withheld() const
    {
        return withheld_;
    }
    /** @return the entries that were withheld until now and are still listed */
    std::vector<TargetId> releaseDue(TimePoint now);
    /** @return when releaseDue() has to be called next; TimePoint::max() if nothing is withheld */
    TimePoint nextTimer() const
    {
        return withheld_.empty() ? TimePoint::max() : holdUntil_;
    }

private:
    struct Departure
    {
        std::uint64_t instance = 0;
        Revision revision; ///< of the list that showed it
        TimePoint until; ///< end of the memory
    };
    /** End of the memory of a departure, unless the target left again since. */
    struct Deadline
    {
        TargetId target;
        TimePoint until;
    };

    /** Ends the memory of departures whose time is over, and of the oldest ones beyond MaxDepartures. */
    void forgetOld(TimePoint now);

    absl::flat_hash_map<TargetId, Departure> departures_;
    std::deque<Deadline> deadlines_; ///< at least one for each of departures_, nearly in order of `until`
    absl::flat_hash_set<TargetId> withheld_;
    Revision firstList_; ///< of the current era
    TimePoint holdUntil_;
};

} // namespace poplarroad

#endif
