#ifndef POPLARROAD_SERVICE_TARGETREPLICA_H
#define POPLARROAD_SERVICE_TARGETREPLICA_H

#include "poplarroad/fleetmessages.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace poplarroad
{

/**
 * The list of targets as the store had it at a revision.
 *
 * An entry of a ready target that goes away is used on for a while: entries lapse while the store cannot be written, and
 * come back when it can.
 */
class TargetReplica
{
public:
    /** A live target writes its entry again within 2 s of the store's return. */
    static constexpr Milliseconds LapsedGracePeriod{ 2200 };
    /**
     * Changes kept for peers that are behind; one that is further behind gets the whole list. All targets of a zone of a few
     * thousand may change within seconds, in a release or when they register; at some 150 bytes each it takes 0.6 MB.
     */
    static constexpr std::size_t MaxLoggedChanges = 4096;

    /** How long after its first list a balancer takes over the lapsed entries of its peers; later it has its own. */
    static constexpr Milliseconds LapsedImportWindow{ 2200 };

    /** Takes an answer of the store or of a peer. @return what changed for the users of the list */
    TargetUpdate apply(const TargetUpdate &update, TimePoint now);
    /** Gives up lapsed entries whose time is over. @return them, as gone */
    TargetUpdate onTimer(TimePoint now);
    TimePoint nextTimer() const;
    Revision revision() const
    {
        return revision_;
    }
    /** @return the revision of the last change */
    Revision lastChange() const
    {
        return log_.empty() ? logStart_ : log_.back().position;
    }
    /** @return whether since() gives changes only and not the whole list */
    bool hasChangesSince(Revision after) const
    {
        return after.value != 0 && after >= logStart_;
    }
    /** @return what a peer lacks that knows the list up to `after`; 0 for a peer that knows nothing */
    TargetUpdate updateSince(Revision after) const;
    std::size_t size() const
    {
        return entries_.size();
    }
    std::size_t lapsedCount() const
    {
        return lapsed_.size();
    }

private:
    /** An entry with the revision that it was written or lost at. */
    struct Entry
    {
        ListedTarget target;
        Revision revision;
    };
    /** A change with its place in the order in which this replica took changes. */
    struct LogEntry
    {
        Revision position; ///< a list at this revision has the change
        TargetChange change;
    };
    struct LapseDeadline
    {
        TargetId target;
        TimePoint until;
    };

    /** @param update that the change is a part of */
    void applyChange(const TargetChange &change, const TargetUpdate &update, TimePoint now, TargetUpdate &applied);
    /** @return whether the change is older than what is known of the entry; a whole list is never */
    bool isOutdated(const TargetChange &change, const TargetUpdate &update) const;
    /** Uses an entry on that lapsed at a peer and that this replica does not know. */
    void importLapsed(const TargetChange &lapsed, TimePoint now, TargetUpdate &applied);
    void removeEntry(const TargetChange &gone, const TargetUpdate &update, TimePoint now, TargetUpdate &applied);
    void appendToLog(const TargetChange &change, const TargetUpdate &update);

    Revision revision_;
    std::optional<TimePoint> firstListAt_;
    absl::flat_hash_map<TargetId, Entry> entries_;
    absl::flat_hash_map<TargetId, Entry> lapsed_;
    std::deque<LapseDeadline> lapseDeadlines_; ///< by end
    std::deque<LogEntry> log_; ///< by position
    Revision logStart_; ///< the log holds every change after it
};

} // namespace poplarroad

#endif
