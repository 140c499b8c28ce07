#include "target/targettable.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace poplarroad
{

void TargetTable::apply(const std::vector<TargetChange> &changes, bool complete, TimePoint now)
{
    absl::flat_hash_set<TargetId> named;
    for (const TargetChange &change : changes) {
        named.insert(change.target.target.id);
        put(change, now);
    }
    if (complete) {
        for (const auto &[id, index] : byId_) {
            if (!named.contains(id)) {
                remove(index, now);
            }
        }
    }
    forgetOld(now);
    index();
}

void TargetTable::put(const TargetChange &change, TimePoint now)
{
    const TargetId id = change.target.target.id;
    const auto known = byId_.find(id);
    if (change.listing == ListingState::Gone) {
        if (known != byId_.end()) {
            remove(known->second, now);
        }
        return;
    }
    TargetIndex place;
    if (known != byId_.end()) {
        place = known->second;
    } else if (!free_.empty()) {
        place = free_.back();
        free_.pop_back();
        entries_[place.value] = {};
    } else {
        place = TargetIndex{ static_cast<std::uint32_t>(entries_.size()) };
        entries_.emplace_back();
    }
    TargetEntry &entry = entries_[place.value];
    const bool reborn = known == byId_.end() || entry.listed.instance != change.target.instance;
    const bool returned = entry.listing != ListingState::Present && change.listing == ListingState::Present;
    if (reborn || entry.listing != change.listing) {
        entry.listingSince = now;
    }
    if (reborn || returned) {
        entry.evidence.reset(now);
    }
    entry.listed = change.target;
    entry.listing = change.listing;
    entry.tag = packetTagOf(id);
    entry.warmAt = now + change.target.warmup;
    byId_[id] = place;
}

void TargetTable::remove(TargetIndex index, TimePoint now)
{
    TargetEntry &entry = entries_[index.value];
    if (entry.listing != ListingState::Gone) {
        entry.listing = ListingState::Gone;
        entry.listingSince = now;
    }
}

void TargetTable::forgetOld(TimePoint now)
{
    for (auto known = byId_.begin(); known != byId_.end();) {
        const TargetEntry &entry = entries_[known->second.value];
        if (entry.listing == ListingState::Gone && entry.flows == 0 && now - entry.listingSince > GoneRetention) {
            free_.push_back(known->second);
            byId_.erase(known++);
        } else {
            ++known;
        }
    }
}

void TargetTable::index()
{
    byTag_.clear();
    byService_.clear();
    std::vector<std::pair<TargetId, TargetIndex>> ordered(byId_.begin(), byId_.end());
    std::sort(ordered.begin(), ordered.end());
    for (const auto &[id, place] : ordered) {
        const TargetEntry &entry = entries_[place.value];
        if (entry.listing != ListingState::Gone) {
            byService_[entry.listed.target.service].push_back(place);
        }
        // Two targets can share a tag: the one that was listed first has flows, the other gets none.
        const auto [known, inserted] = byTag_.try_emplace(entry.tag, place);
        if (!inserted) {
            const TargetEntry &other = entries_[known->second.value];
            const bool replaces = other.listing == ListingState::Gone
                || (entry.listing != ListingState::Gone && entry.listingSince < other.listingSince);
            known->second = replaces ? place : known->second;
        }
    }
}

std::optional<TargetIndex> TargetTable::find(PacketTag tag) const
{
    const auto known = byTag_.find(tag);
    return known == byTag_.end() ? std::nullopt : std::optional(known->second);
}

std::optional<TargetIndex> TargetTable::find(TargetId id) const
{
    const auto known = byId_.find(id);
    return known == byId_.end() ? std::nullopt : std::optional(known->second);
}

const std::vector<TargetIndex> &TargetTable::ofService(ServiceId service) const
{
    static const std::vector<TargetIndex> none;
    const auto known = byService_.find(service);
    return known == byService_.end() ? none : known->second;
}

} // namespace poplarroad
