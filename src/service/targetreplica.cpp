#include "service/targetreplica.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace poplarroad
{

namespace
{

/** @return a hash of what the entry says, the same in all balancers */
std::uint64_t hashOf(const ListedTarget &listed)
{
    const Target &target = listed.target;
    std::uint64_t hash = rendezvousWeight(listed.instance, target.id.value);
    hash = rendezvousWeight(hash, target.address.key());
    hash = rendezvousWeight(hash, (std::uint64_t{ target.service.value } << 32U) | target.zone.value);
    hash = rendezvousWeight(hash, (std::uint64_t{ target.slots } << 8U) | static_cast<std::uint8_t>(target.state));
    return rendezvousWeight(hash, static_cast<std::uint64_t>(listed.warmup.count()));
}

} // namespace

TargetUpdate TargetReplica::apply(const TargetUpdate &update, TimePoint now, const ListReading &reading)
{
    TargetUpdate applied;
    for (const TargetChange &change : update.changes) {
        if (change.listing == ListingState::Expired && !isWithheldMark(change)) {
            importExpired(change, now, applied);
        }
    }
    if (update.revision < revision_) {
        // An older answer that arrived after a newer one: only its expired entries are used.
        applied.revision = revision_;
        return applied;
    }
    if (revision_.value != 0 && eraOf(update.revision) > eraOf(revision_) && !update.complete) {
        // Changes to a list of an era of which this replica has none.
        applied.revision = revision_;
        return applied;
    }
    TargetUpdate newer = applyNewer(update, now, reading);
    newer.changes.insert(newer.changes.begin(), applied.changes.begin(), applied.changes.end());
    return newer;
}

TargetUpdate TargetReplica::applyAcrossEras(const TargetUpdate &update, Revision after, TimePoint now)
{
    const bool applies = revision_.value != 0 && lastChange() <= after && after <= revision_;
    if (!applies || eraOf(update.revision) <= eraOf(revision_)) {
        TargetUpdate none;
        none.revision = revision_;
        return none;
    }
    return applyNewer(update, now, {});
}

TargetUpdate TargetReplica::applyNewer(const TargetUpdate &update, TimePoint now, const ListReading &reading)
{
    TargetUpdate applied;
    const ListCoverage listCoverage(update.revision, update.complete ? reading.segments : std::vector<ListSegment>());
    const bool first = revision_.value == 0;
    const bool newEra = !first && eraOf(update.revision) > eraOf(revision_);
    beginEraOf(update, now);
    if (newEra) {
        restartLog();
    }
    const bool wasEmpty = entries_.empty();
    firstListAt_ = firstListAt_.value_or(now);
    for (const TargetChange &change : update.changes) {
        applyChange(change, update, listCoverage, now, applied);
    }
    if (update.complete) {
        removeMissing(update, reading, listCoverage, now, applied);
        if (first) {
            log_.clear();
        }
        if (listCoverage.isMixed()) {
            coverage_ = listCoverage;
        }
    }
    coverage_.advance(update.revision);
    if (newEra || (first && update.complete)) {
        logStart_ = update.revision;
    }
    revision_ = update.revision;
    applied.revision = revision_;
    applied.complete = first && update.complete && wasEmpty;
    return applied;
}

void TargetReplica::removeMissing(const TargetUpdate &list, const ListReading &reading, const ListCoverage &coverage,
                                  TimePoint now, TargetUpdate &applied)
{
    absl::flat_hash_set<TargetId> presentIds(reading.unreadable.begin(), reading.unreadable.end());
    for (const TargetChange &change : list.changes) {
        if (change.listing == ListingState::Present) {
            presentIds.insert(change.target.target.id);
        }
    }
    std::vector<TargetId> missing;
    for (const auto &[id, entry] : entries_) {
        const bool isOlder = entry.revision < coverage.revisionOf(entry.target.target.name);
        if (!presentIds.contains(id) && isOlder) {
            missing.push_back(id);
        }
    }
    for (const TargetId id : missing) {
        TargetChange gone{ coverage.revisionOf(entries_.at(id).target.target.name), ListingState::Gone, {} };
        gone.target.target.id = id;
        removeEntry(gone, list, now, applied);
    }
}

void TargetReplica::beginEraOf(const TargetUpdate &update, TimePoint now)
{
    // A truncated list comes at the revision of this replica; only its entries show the era.
    Revision latest = update.revision;
    for (const TargetChange &change : update.changes) {
        latest = std::max(latest, change.revision);
    }
    departed_.beginEra(eraOf(latest) > eraOf(update.revision) ? latest : update.revision, now);
}

void TargetReplica::restartLog()
{
    // Another list of the earlier era may have changes that the store lost, which the log cannot undo.
    eraPredecessor_ = EraPredecessor{ lastChange(), revision_ };
    log_.clear();
}

bool TargetReplica::isOutdated(const TargetChange &change, const TargetUpdate &update,
                               const ListCoverage &updateCoverage) const
{
    // Balancers learn of the removal and the return of an entry at different revisions and in different order, so the
    // revisions of the entry are compared, not those of the lists.
    const Target &target = change.target.target;
    const auto isSuperseded = [&](Revision known) {
        return !update.complete || known > updateCoverage.revisionOf(target.name);
    };
    for (const auto *entries : { &entries_, &expired_ }) {
        const auto known = entries->find(target.id);
        if (known != entries->end() && change.revision < known->second.revision) {
            return isSuperseded(known->second.revision);
        }
    }
    if (change.listing != ListingState::Present || entries_.contains(target.id)) {
        return false;
    }
    const Revision unlistedAt = coverage_.isMixed() ? coverage_.revisionOf(target.name) : Revision{};
    const Revision missingAt = std::max(unlistedAt, departed_.leftAt(target.id));
    return change.revision <= missingAt && isSuperseded(missingAt);
}

void TargetReplica::applyChange(const TargetChange &change, const TargetUpdate &update,
                                const ListCoverage &updateCoverage, TimePoint now, TargetUpdate &applied)
{
    const TargetId id = change.target.target.id;
    if (isWithheldMark(change)) {
        applyWithheldMark(change, now, applied);
        return;
    }
    if (change.listing == ListingState::Expired || isOutdated(change, update, updateCoverage)) {
        return;
    }
    if (change.listing == ListingState::Gone) {
        removeEntry(change, update, now, applied);
        return;
    }
    const bool wasWithheld = departed_.isWithheld(id);
    const bool withheld = departed_.withholds(change, now);
    // While the entry is withheld, the grace period of a target whose entry had expired goes on.
    const bool returned = !withheld && expired_.erase(id) > 0;
    const bool isNew = returned || wasWithheld != withheld;
    const auto known = entries_.find(id);
    const bool leaves = change.target.target.state == TargetState::Draining;
    if (!withheld && leaves) {
        departed_.onLeft(change.target, change.revision, now);
    }
    if (known != entries_.end() && known->second.target == change.target && !isNew) {
        if (change.revision > known->second.revision) {
            // Written again unchanged. A peer that read the list while the entry was missing lacks it.
            // A list of a later era gives new revisions to all entries. That is no news for a peer with an equal list.
            const bool isRestamped = update.complete && eraOf(change.revision) > eraOf(known->second.revision);
            known->second.revision = change.revision;
            if (!isRestamped) {
                appendToLog(change, update);
            }
            if (change.target.warmup > Milliseconds(0) && !isRestamped && !withheld) {
                // The remaining time counts from this write on.
                applied.changes.push_back(change);
            }
        }
        return;
    }
    // An instance that another one replaces has left too; the memory has one instance for each target, the latest.
    if (!withheld && !leaves && known != entries_.end() && known->second.target.instance != change.target.instance) {
        departed_.onLeft(known->second.target, change.revision, now);
    }
    setEntry(change);
    TargetChange present = change;
    present.listing = ListingState::Present;
    appendToLog(present, update);
    if (!withheld) {
        applied.changes.push_back(std::move(present));
    }
}

void TargetReplica::applyWithheldMark(const TargetChange &mark, TimePoint now, TargetUpdate &applied)
{
    const auto known = entries_.find(mark.target.target.id);
    if (known == entries_.end() || mark.target.instance != known->second.target.instance) {
        return;
    }
    // An entry that was confirmed by the digest of the list still has its revision of an earlier era.
    const Revision revision = known->second.revision;
    const bool isSameEntry = mark.revision == revision || eraOf(mark.revision) > eraOf(revision);
    // Each balancer ends the hold by its own first list, so that marks do not pass back and forth forever.
    if (isSameEntry && departed_.withholdAsPeer(mark.target.target.id, now)) {
        TargetChange draining{ revision, ListingState::Present, known->second.target };
        draining.target.target.state = TargetState::Draining;
        applied.changes.push_back(std::move(draining));
    }
}

void TargetReplica::setEntry(const TargetChange &change)
{
    const auto [entry, isNew] = entries_.try_emplace(change.target.target.id);
    digest_ += hashOf(change.target) - (isNew ? 0 : hashOf(entry->second.target));
    entry->second = { change.target, change.revision };
}

void TargetReplica::confirmSame(Revision revision, TimePoint now)
{
    if (revision <= lastChange()) {
        return;
    }
    departed_.beginEra(revision, now);
    if (eraOf(revision) > eraOf(revision_)) {
        restartLog();
    } else {
        eraPredecessor_.reset();
    }
    // The changes in between are not in the log, so peers with an older list need the complete one.
    log_.clear();
    logStart_ = revision;
    revision_ = std::max(revision_, revision);
}

void TargetReplica::importExpired(const TargetChange &expired, TimePoint now, TargetUpdate &applied)
{
    const TargetId id = expired.target.target.id;
    const bool inImportWindow = !firstListAt_ || now - *firstListAt_ <= ExpiredImportWindow;
    if (!inImportWindow || entries_.contains(id) || expired_.contains(id)) {
        return;
    }
    keepExpired(id, { expired.target, expired.revision }, now);
    applied.changes.push_back(expired);
}

void TargetReplica::removeEntry(const TargetChange &gone, const TargetUpdate &update, TimePoint now,
                                TargetUpdate &applied)
{
    const TargetId id = gone.target.target.id;
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        return;
    }
    appendToLog(gone, update);
    Entry entry{ std::move(known->second.target), gone.revision };
    digest_ -= hashOf(entry.target);
    entries_.erase(known);
    const bool wasWithheld = departed_.isWithheld(id);
    departed_.onUnlisted(id);
    departed_.onLeft(entry.target, gone.revision, now);
    if (entry.target.target.state == TargetState::Active && !wasWithheld) {
        applied.changes.push_back({ gone.revision, ListingState::Expired, entry.target });
        keepExpired(id, std::move(entry), now);
    } else {
        expired_.erase(id);
        applied.changes.push_back({ gone.revision, ListingState::Gone, std::move(entry.target) });
    }
}

void TargetReplica::keepExpired(TargetId id, Entry entry, TimePoint now)
{
    entry.graceUntil = now + ExpiredGracePeriod;
    graceDeadlines_.push_back({ id, entry.graceUntil });
    expired_.insert_or_assign(id, std::move(entry));
}

void TargetReplica::appendToLog(const TargetChange &change, const TargetUpdate &update)
{
    // A change older than this replica's list is still new to peers that have the list from before the update.
    const Revision position = change.revision > revision_ ? change.revision : update.revision;
    log_.push_back({ std::max(position, lastChange()), change });
    if (log_.size() > MaxLoggedChanges) {
        logStart_ = std::max(logStart_, log_.front().position);
        log_.pop_front();
        eraPredecessor_.reset();
    }
}

TargetUpdate TargetReplica::onTimer(TimePoint now, TimePoint knownUntil)
{
    const TimePoint end = std::min(now, knownUntil);
    TargetUpdate applied;
    applied.revision = revision_;
    while (!graceDeadlines_.empty() && graceDeadlines_.front().until <= end) {
        const TargetId target = graceDeadlines_.front().target;
        graceDeadlines_.pop_front();
        const auto entry = expired_.find(target);
        // An entry that expired again since has a later deadline.
        if (entry != expired_.end() && entry->second.graceUntil <= end) {
            departed_.onLeft(entry->second.target, revision_, now);
            applied.changes.push_back({ revision_, ListingState::Gone, std::move(entry->second.target) });
            expired_.erase(entry);
        }
    }
    for (const TargetId target : departed_.releaseDue(end)) {
        const Entry &entry = entries_.at(target);
        applied.changes.push_back({ entry.revision, ListingState::Present, entry.target });
    }
    return applied;
}

TimePoint TargetReplica::nextTimer() const
{
    return std::min(departed_.nextTimer(), graceDeadlines_.empty() ? TimePoint::max() : graceDeadlines_.front().until);
}

TargetUpdate TargetReplica::updateSince(Revision after) const
{
    TargetUpdate update;
    update.revision = revision_;
    update.complete = !hasChangesSince(after);
    appendExpired(update.changes);
    if (update.complete) {
        for (const auto &[id, entry] : entries_) {
            update.changes.push_back({ entry.revision, ListingState::Present, entry.target });
        }
    } else {
        for (const LogEntry &logged : log_) {
            if (logged.position > after) {
                update.changes.push_back(logged.change);
            }
        }
    }
    // After the entries themselves, since a mark refers to an entry.
    appendMarks(update.changes);
    return update;
}

std::vector<TargetChange> TargetReplica::unlistedState() const
{
    std::vector<TargetChange> changes;
    if (eraOf(revision_) > 0) {
        appendExpired(changes);
        appendMarks(changes);
    }
    return changes;
}

void TargetReplica::appendExpired(std::vector<TargetChange> &changes) const
{
    for (const auto &[id, entry] : expired_) {
        changes.push_back({ entry.revision, ListingState::Expired, entry.target });
    }
}

void TargetReplica::appendMarks(std::vector<TargetChange> &changes) const
{
    for (const TargetId id : departed_.withheld()) {
        const Entry &entry = entries_.at(id);
        TargetChange mark{ entry.revision, ListingState::Expired, entry.target };
        mark.target.target.state = TargetState::Draining;
        changes.push_back(std::move(mark));
    }
}

TargetUpdate TargetReplica::applyUnlistedState(const std::vector<TargetChange> &changes, TimePoint now)
{
    TargetUpdate applied;
    applied.revision = revision_;
    if (eraOf(revision_) == 0) {
        return applied;
    }
    for (const TargetChange &change : changes) {
        if (isWithheldMark(change)) {
            applyWithheldMark(change, now, applied);
        } else if (change.listing == ListingState::Expired) {
            importExpired(change, now, applied);
        }
    }
    return applied;
}

} // namespace poplarroad
