#include "service/targetreplica.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace poplarroad
{

TargetUpdate TargetReplica::apply(const TargetUpdate &update, TimePoint now)
{
    TargetUpdate news;
    for (const TargetChange &change : update.changes) {
        if (change.listing == ListingState::Lapsed) {
            adopt(change, now, news);
        }
    }
    if (update.revision < revision_) {
        // An answer that overtook a newer one.
        news.revision = revision_;
        return news;
    }
    const bool first = revision_.value == 0;
    firstListAt_ = firstListAt_.value_or(now);
    for (const TargetChange &change : update.changes) {
        take(change, update, now, news);
    }
    if (update.complete) {
        absl::flat_hash_set<TargetId> named;
        for (const TargetChange &change : update.changes) {
            if (change.listing == ListingState::Present) {
                named.insert(change.target.target.id);
            }
        }
        std::vector<TargetId> missing;
        for (const auto &[id, entry] : entries_) {
            if (!named.contains(id)) {
                missing.push_back(id);
            }
        }
        for (const TargetId id : missing) {
            TargetChange gone{ update.revision, ListingState::Gone, {} };
            gone.target.target.id = id;
            lose(gone, update, now, news);
        }
        if (first) {
            logStart_ = update.revision;
            log_.clear();
        }
    }
    revision_ = update.revision;
    news.revision = revision_;
    news.complete = first && update.complete;
    return news;
}

bool TargetReplica::outdated(const TargetChange &change, const TargetUpdate &update) const
{
    // Balancers learn of the loss and the return of an entry at different revisions and in different order.
    const TargetId id = change.target.target.id;
    for (const auto *entries : { &entries_, &lapsed_ }) {
        const auto known = entries->find(id);
        if (known != entries->end() && change.revision < known->second.revision) {
            return !update.complete;
        }
    }
    return false;
}

void TargetReplica::take(const TargetChange &change, const TargetUpdate &update, TimePoint now, TargetUpdate &news)
{
    const TargetId id = change.target.target.id;
    if (change.listing == ListingState::Lapsed || outdated(change, update)) {
        return;
    }
    if (change.listing == ListingState::Gone) {
        lose(change, update, now, news);
        return;
    }
    const bool wasLapsed = lapsed_.erase(id) > 0;
    const auto known = entries_.find(id);
    if (known != entries_.end() && known->second.target == change.target && !wasLapsed) {
        known->second.revision = change.revision;
        return;
    }
    entries_.insert_or_assign(id, Entry{ change.target, change.revision });
    TargetChange present = change;
    present.listing = ListingState::Present;
    log(present, update);
    news.changes.push_back(std::move(present));
}

void TargetReplica::adopt(const TargetChange &lapsed, TimePoint now, TargetUpdate &news)
{
    const TargetId id = lapsed.target.target.id;
    const bool starting = !firstListAt_ || now - *firstListAt_ <= AdoptTime;
    if (!starting || entries_.contains(id) || lapsed_.contains(id)) {
        return;
    }
    lapsed_.insert_or_assign(id, Entry{ lapsed.target, lapsed.revision });
    lapses_.push_back({ id, now + LapseTime });
    news.changes.push_back(lapsed);
}

void TargetReplica::lose(const TargetChange &gone, const TargetUpdate &update, TimePoint now, TargetUpdate &news)
{
    const TargetId id = gone.target.target.id;
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        return;
    }
    log(gone, update);
    Entry entry{ std::move(known->second.target), gone.revision };
    entries_.erase(known);
    if (entry.target.target.state == TargetState::Active) {
        news.changes.push_back({ gone.revision, ListingState::Lapsed, entry.target });
        lapsed_.insert_or_assign(id, std::move(entry));
        lapses_.push_back({ id, now + LapseTime });
    } else {
        news.changes.push_back(gone);
    }
}

void TargetReplica::log(const TargetChange &change, const TargetUpdate &update)
{
    // A change that is older than this replica's list is new to those who had the list before the update.
    const Revision position = change.revision > revision_ ? change.revision : update.revision;
    log_.push_back({ std::max(position, lastChange()), change });
    if (log_.size() > LongestLog) {
        logStart_ = log_.front().position;
        log_.pop_front();
    }
}

TargetUpdate TargetReplica::onTimer(TimePoint now)
{
    TargetUpdate news;
    news.revision = revision_;
    while (!lapses_.empty() && lapses_.front().until <= now) {
        const TargetId target = lapses_.front().target;
        lapses_.pop_front();
        const auto later =
            std::any_of(lapses_.begin(), lapses_.end(), [&](const Lapse &lapse) { return lapse.target == target; });
        if (!later && lapsed_.erase(target) > 0) {
            TargetChange gone{ revision_, ListingState::Gone, {} };
            gone.target.target.id = target;
            news.changes.push_back(std::move(gone));
        }
    }
    return news;
}

TimePoint TargetReplica::nextTimer() const
{
    return lapses_.empty() ? TimePoint::max() : lapses_.front().until;
}

TargetUpdate TargetReplica::since(Revision after) const
{
    TargetUpdate update;
    update.revision = revision_;
    update.complete = !hasChangesSince(after);
    for (const auto &[id, entry] : lapsed_) {
        update.changes.push_back({ entry.revision, ListingState::Lapsed, entry.target });
    }
    if (update.complete) {
        for (const auto &[id, entry] : entries_) {
            update.changes.push_back({ entry.revision, ListingState::Present, entry.target });
        }
        return update;
    }
    for (const Logged &logged : log_) {
        if (logged.position > after) {
            update.changes.push_back(logged.change);
        }
    }
    return update;
}

} // namespace poplarroad
