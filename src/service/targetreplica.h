#ifndef POPLARROAD_SERVICE_TARGETREPLICA_H
#define POPLARROAD_SERVICE_TARGETREPLICA_H

#include "poplarroad/fleetmessages.h"
#include "service/departedtargets.h"
#include "service/listcoverage.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace poplarroad
{

/** How the store returned a list, beside its entries. */
struct ListReading
{
    /**
     * Targets whose entries exist but cannot be read; they keep their last valid state, since a write by another program
     * says nothing about the target.
     */
    std::vector<TargetId> unreadable;
    std::vector<ListSegment> segments; ///< of a list that was read in several calls, see ListCoverage
};

/**
 * A copy of the store's target list at one revision.
 *
 * The list has all changes up to its revision. Single entries can be known from a later one, when the segments of a list
 * differ in age: no entry goes back to an earlier state because of a change, or of another list, that is older than what
 * is known of it.
 *
 * When the entry of an active target disappears, the target stays in use as expired for a grace period: entries also
 * expire while targets cannot write to the store, and are written again once they can.
 *
 * Lists of different eras (see storerevision.h) have no changes in common: a replica goes to a later era with a complete
 * list, and peers of an earlier era get one. Entries of targets that left before the era are part of the list, but its
 * readers do not get them while DepartedTargets withholds them.
 */
class TargetReplica
{
public:
    /** How long an expired entry stays in use. A live target writes its entry again within 2 s of the store's return. */
    static constexpr Milliseconds ExpiredGracePeriod{ 2200 };
    /**
     * Changes kept for peers with an older list; a peer that lacks more gets the complete list. During a release or
     * when targets register, all of the few thousand targets of a zone may change within seconds. At about 150 bytes a
     * change, the log takes 0.6 MB.
     */
    static constexpr std::size_t MaxLoggedChanges = 4096;

    /** How long after its first list a balancer takes over expired entries from peers; after that it tracks its own. */
    static constexpr Milliseconds ExpiredImportWindow{ 2200 };

    /**
     * Applies an update from the store or from a peer.
     *
     * A truncated list, and changes that follow it, are applied at the revision of this replica: they vouch for no
     * revision, as entries may be missing.
     *
     * @param reading how the store returned a complete list
     * @return the changes for the readers of the list
     */
    TargetUpdate apply(const TargetUpdate &update, TimePoint now, const ListReading &reading = {});
    /**
     * Applies changes of a peer that lead from a list of an earlier era to one of a later era.
     *
     * @param after revision of the list that the changes apply to; they are ignored unless this replica has just it
     */
    TargetUpdate applyAcrossEras(const TargetUpdate &update, Revision after, TimePoint now);
    /**
     * Removes expired entries whose grace period is over, and passes on listed entries that are no longer withheld.
     *
     * @param knownUntil until when the list is known to be that of the store: an entry that is not known to be missing
     *     at the end of its grace period stays expired
     * @return the removed ones as ListingState::Gone, the others as ListingState::Present
     */
    TargetUpdate onTimer(TimePoint now, TimePoint knownUntil = TimePoint::max());
    /** @return when onTimer() has to be called next; TimePoint::max() if no period is running */
    TimePoint nextTimer() const;
    Revision revision() const
    {
        return revision_;
    }
    /** @return the revision of the last change; 0 before the first complete list */
    Revision lastChange() const
    {
        if (revision_.value == 0) {
            return {};
        }
        return log_.empty() ? logStart_ : std::max(logStart_, log_.back().position);
    }
    /** @return a number that is equal for lists with the same present entries */
    std::uint64_t digest() const
    {
        return digest_;
    }
    /**
     * Records that a peer's list at a later revision is the same, which equal digests show.
     *
     * @param revision of the last change of the peer's list
     */
    void confirmSame(Revision revision, TimePoint now = {});
    /** @return whether updateSince() returns only changes, not the complete list */
    bool hasChangesSince(Revision after) const
    {
        return after.value != 0 && (after >= logStart_ || (eraPredecessor_ && eraPredecessor_->includes(after)));
    }
    /** @param after revision of a peer's list, 0 if it has none. @return the update that the peer lacks */
    TargetUpdate updateSince(Revision after) const;
    /**
     * What a balancer that restarted after a change of era cannot learn from the store's list.
     *
     * @return the expired entries, and the withheld ones as expired and draining, which no other entry is
     */
    std::vector<TargetChange> unlistedState() const;
    /** Applies a peer's unlistedState(), and nothing else of its changes. @return the changes for the readers */
    TargetUpdate applyUnlistedState(const std::vector<TargetChange> &changes, TimePoint now);
    /** @return whether parts of the list are newer than its revision, so that it is not the list of any one revision */
    bool isMixed() const
    {
        return coverage_.isMixed();
    }
    /** @return the number of entries that are present */
    std::size_t size() const
    {
        return entries_.size();
    }
    std::size_t expiredCount() const
    {
        return expired_.size();
    }
    /** @return the number of listed entries that the readers of the list do not get, see DepartedTargets */
    std::size_t withheldCount() const
    {
        return departed_.withheld().size();
    }

private:
    /** An entry and the revision at which it was written or disappeared. */
    struct Entry
    {
        ListedTarget target;
        Revision revision;
        TimePoint graceUntil{}; ///< end of the grace period of an expired entry
    };
    /** A logged change, in the order in which this replica applied them. */
    struct LogEntry
    {
        Revision position; ///< lists of this or a later revision contain the change
        TargetChange change;
    };
    /** End of a grace period; the entry may have returned, or expired again, since it began. */
    struct GraceDeadline
    {
        TargetId target;
        TimePoint until;
    };

    /** The last list of an earlier era, and the revisions up to which it stayed the same. */
    struct EraPredecessor
    {
        Revision first;
        Revision last;

        bool includes(Revision revision) const
        {
            return revision >= first && revision <= last;
        }
    };

    /** Applies an update that is not older than this replica. */
    TargetUpdate applyNewer(const TargetUpdate &update, TimePoint now, const ListReading &reading);
    /** Removes the entries that a complete list lacks, except those that are known from a later revision. */
    void removeMissing(const TargetUpdate &list, const ListReading &reading, const ListCoverage &coverage,
                       TimePoint now, TargetUpdate &applied);
    /** Begins the log of an era with the changes to the last list of the one before. */
    void restartLog();
    /**
     * @param update the update that contains the change
     * @param updateCoverage of the update
     */
    void applyChange(const TargetChange &change, const TargetUpdate &update, const ListCoverage &updateCoverage,
                     TimePoint now, TargetUpdate &applied);
    /** @return whether a later state of the entry is known than the one that the change or the list shows */
    bool isOutdated(const TargetChange &change, const TargetUpdate &update, const ListCoverage &updateCoverage) const;
    /** Begins the era of an update if it is a new one. */
    void beginEraOf(const TargetUpdate &update, TimePoint now);
    /** @return whether a change is the mark of a peer that withholds an entry; draining targets do not expire */
    static bool isWithheldMark(const TargetChange &change)
    {
        return change.listing == ListingState::Expired && change.target.target.state == TargetState::Draining;
    }
    /** Withholds an entry that a peer withholds, unless it has been written since. */
    void applyWithheldMark(const TargetChange &mark, TimePoint now, TargetUpdate &applied);
    /** Takes over an entry that expired at a peer and is unknown here, during the import window. */
    void importExpired(const TargetChange &expired, TimePoint now, TargetUpdate &applied);
    /** Adds or replaces an entry. */
    void setEntry(const TargetChange &change);
    /** Removes an entry; that of an active target stays in use as expired. */
    void removeEntry(const TargetChange &gone, const TargetUpdate &update, TimePoint now, TargetUpdate &applied);
    /** Keeps an entry that disappeared in use for the grace period. */
    void keepExpired(TargetId id, Entry entry, TimePoint now);
    void appendToLog(const TargetChange &change, const TargetUpdate &update);
    void appendExpired(std::vector<TargetChange> &changes) const;
    /** Appends the marks of the withheld entries, see isWithheldMark(). */
    void appendMarks(std::vector<TargetChange> &changes) const;

    Revision revision_;
    ListCoverage coverage_; ///< of this list
    std::optional<TimePoint> firstListAt_;
    absl::flat_hash_map<TargetId, Entry> entries_;
    std::uint64_t digest_ = 0; ///< sum over the entries
    absl::flat_hash_map<TargetId, Entry> expired_;
    std::deque<GraceDeadline> graceDeadlines_; ///< in order of `until`
    std::deque<LogEntry> log_; ///< in order of position
    Revision logStart_; ///< the log contains every change after this revision
    std::optional<EraPredecessor> eraPredecessor_; ///< the log also contains every change after it, while it is set
    DepartedTargets departed_;
};

} // namespace poplarroad

#endif
