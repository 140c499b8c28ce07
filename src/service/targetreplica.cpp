#include "service/targetreplica.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace poplarroad
{

TargetUpdate TargetReplica::apply(const TargetUpdate &update, TimePoint now)
{
    TargetUpdate news;
    for (const TargetChange &change : update.changes) {
        if (change.listing == Listing::Lapsed) {
            adopt(change, now, news);
        }
    }
    if (update.revision < revision_) {
        // An answer that overtook a newer one.
        news.revision = revision_;
        return news;
    }
    const bool first = revision_.value == 0;
    for (const TargetChange &change : update.changes) {
        take(change, now, news);
    }
    if (update.complete) {
        absl::flat_hash_set<TargetId> named;
        for (const TargetChange &change : update.changes) {
            if (change.listing == Listing::Present) {
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
            lose(id, update.revision, now, news);
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

void TargetReplica::take(const TargetChange &change, TimePoint now, TargetUpdate &news)
{
    const TargetId id = change.target.target.id;
    if (change.listing == Listing::Lapsed) {
        return;
    }
    if (change.listing == Listing::Gone) {
        lose(id, change.revision, now, news);
        return;
    }
    const bool wasLapsed = lapsed_.erase(id) > 0;
    const auto known = entries_.find(id);
    if (known != entries_.end() && known->second == change.target && !wasLapsed) {
        return;
    }
    entries_.insert_or_assign(id, change.target);
    TargetChange present = change;
    present.listing = Listing::Present;
    log(present);
    news.changes.push_back(std::move(present));
}

void TargetReplica::adopt(const TargetChange &lapsed, TimePoint now, TargetUpdate &news)
{
    const TargetId id = lapsed.target.target.id;
    if (entries_.contains(id) || lapsed_.contains(id)) {
        return;
    }
    lapsed_.insert_or_assign(id, lapsed.target);
    lapses_.push_back({ id, now + LapseTime });
    news.changes.push_back(lapsed);
}

void TargetReplica::lose(TargetId target, Revision revision, TimePoint now, TargetUpdate &news)
{
    const auto known = entries_.find(target);
    if (known == entries_.end()) {
        return;
    }
    TargetChange gone{ revision, Listing::Gone, {} };
    gone.target.target.id = target;
    log(gone);
    if (known->second.target.state == TargetState::Active) {
        news.changes.push_back({ revision, Listing::Lapsed, known->second });
        lapsed_.insert_or_assign(target, std::move(known->second));
        lapses_.push_back({ target, now + LapseTime });
    } else {
        news.changes.push_back(std::move(gone));
    }
    entries_.erase(known);
}

void TargetReplica::log(const TargetChange &change)
{
    log_.push_back(change);
    if (log_.size() > LongestLog) {
        logStart_ = log_.front().revision;
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
            TargetChange gone{ revision_, Listing::Gone, {} };
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
    update.complete = after.value == 0 || after < logStart_;
    for (const auto &[id, entry] : lapsed_) {
        update.changes.push_back({ revision_, Listing::Lapsed, entry });
    }
    if (update.complete) {
        for (const auto &[id, entry] : entries_) {
            update.changes.push_back({ revision_, Listing::Present, entry });
        }
        return update;
    }
    const auto first =
        std::find_if(log_.begin(), log_.end(), [&](const TargetChange &change) { return change.revision > after; });
    update.changes.insert(update.changes.end(), first, log_.end());
    return update;
}

} // namespace poplarroad
