#include "target/targettable.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace poplarroad
{

void TargetTable::apply(const std::vector<TargetChange> &changes, bool complete, TimePoint now)
{
    absl::flat_hash_set<TargetId> listedIds;
    for (const TargetChange &change : changes) {
        listedIds.insert(change.target.target.id);
        addOrUpdate(change, now);
    }
    if (complete) {
        for (const auto &[id, index] : byId_) {
            if (!listedIds.contains(id)) {
                remove(index, now);
            }
        }
    }
    eraseOldGoneTargets(now);
    rebuildIndexes();
}

void TargetTable::addOrUpdate(const TargetChange &change, TimePoint now)
{
    const TargetId id = change.target.target.id;
    const auto found = byId_.find(id);
    if (change.listing == ListingState::Gone) {
        if (found != byId_.end()) {
            remove(found->second, now);
        }
        return;
    }
    TargetIndex index;
    if (found != byId_.end()) {
        index = found->second;
    } else if (!freeIndexes_.empty()) {
        index = freeIndexes_.back();
        freeIndexes_.pop_back();
        entries_[index.value] = {};
    } else {
        index = TargetIndex{ static_cast<std::uint32_t>(entries_.size()) };
        entries_.emplace_back();
    }
    TargetEntry &entry = entries_[index.value];
    const bool newInstance = found == byId_.end() || entry.listed.instance != change.target.instance;
    const bool relisted = entry.listing != ListingState::Present && change.listing == ListingState::Present;
    if (newInstance || entry.listing != change.listing) {
        entry.listingSince = now;
    }
    if (newInstance || relisted) {
        entry.detector.reset(now);
    }
    entry.listed = change.target;
    entry.listing = change.listing;
    entry.tag = packetTagOf(id);
    entry.warmupEnd = now + change.target.warmup;
    byId_[id] = index;
}

void TargetTable::remove(TargetIndex index, TimePoint now)
{
    TargetEntry &entry = entries_[index.value];
    if (entry.listing != ListingState::Gone) {
        entry.listing = ListingState::Gone;
        entry.listingSince = now;
    }
}

void TargetTable::eraseOldGoneTargets(TimePoint now)
{
    for (auto it = byId_.begin(); it != byId_.end();) {
        const TargetEntry &entry = entries_[it->second.value];
        if (entry.listing == ListingState::Gone && entry.flows == 0 && now - entry.listingSince > GoneRetention) {
            freeIndexes_.push_back(it->second);
            byId_.erase(it++);
        } else {
            ++it;
        }
    }
}

void TargetTable::rebuildIndexes()
{
    byTag_.clear();
    byService_.clear();
    std::vector<std::pair<TargetId, TargetIndex>> ordered(byId_.begin(), byId_.end());
    std::sort(ordered.begin(), ordered.end());
    for (const auto &[id, index] : ordered) {
        const TargetEntry &entry = entries_[index.value];
        if (entry.listing != ListingState::Gone) {
            byService_[entry.listed.target.service].push_back(index);
        }
        // Tags can collide: the target that was listed first keeps the tag, as it may have flows; the other gets no new
        // flows.
        const auto [found, inserted] = byTag_.try_emplace(entry.tag, index);
        if (!inserted) {
            const TargetEntry &other = entries_[found->second.value];
            const bool replaces = other.listing == ListingState::Gone
                || (entry.listing != ListingState::Gone && entry.listingSince < other.listingSince);
            found->second = replaces ? index : found->second;
        }
    }
}

std::optional<TargetIndex> TargetTable::find(PacketTag tag) const
{
    const auto found = byTag_.find(tag);
    return found == byTag_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<TargetIndex> TargetTable::find(TargetId id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<TargetIndex> &TargetTable::ofService(ServiceId service) const
{
    static const std::vector<TargetIndex> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

} // namespace poplarroad
