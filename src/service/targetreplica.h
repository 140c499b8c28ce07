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
    static constexpr Milliseconds LapseTime{ 2200 };
    /** Changes kept for peers that are behind; one that is further behind gets the whole list. */
    static constexpr std::size_t LongestLog = 512;

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
        return log_.empty() ? logStart_ : log_.back().revision;
    }
    /** @return what a peer lacks that knows the list up to `after`; 0 for a peer that knows nothing */
    TargetUpdate since(Revision after) const;
    std::size_t size() const
    {
        return entries_.size();
    }
    std::size_t lapsed() const
    {
        return lapsed_.size();
    }

private:
    struct Lapse
    {
        TargetId target;
        TimePoint until;
    };

    void take(const TargetChange &change, TimePoint now, TargetUpdate &news);
    /** Uses an entry on that lapsed at a peer and that this replica does not know. */
    void adopt(const TargetChange &lapsed, TimePoint now, TargetUpdate &news);
    void lose(TargetId target, Revision revision, TimePoint now, TargetUpdate &news);
    void log(const TargetChange &change);

    Revision revision_;
    absl::flat_hash_map<TargetId, ListedTarget> entries_;
    absl::flat_hash_map<TargetId, ListedTarget> lapsed_;
    std::deque<Lapse> lapses_; ///< by end
    std::deque<TargetChange> log_; ///< by revision
    Revision logStart_; ///< the log holds every change after it
};

} // namespace poplarroad

#endif
