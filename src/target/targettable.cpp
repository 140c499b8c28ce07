#include "target/targettable.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <string_view>
#include <tuple>

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
    if (found == byId_.end()) {
        entry.knownSince = now;
        entry.tags = packetTagsOf(id);
        for (const PacketTag tag : entry.tags) {
            byTag_.add(tag, index);
        }
    }
    claimNumber(index, change.target.target.number);
    const bool newInstance = found == byId_.end() || entry.listed.instance != change.target.instance;
    const bool relisted = entry.listing != ListingState::Present && change.listing == ListingState::Present;
    if (newInstance || entry.listing != change.listing) {
        entry.listingSince = now;
    }
    if (newInstance || entry.listing == ListingState::Present) {
        entry.missingSince = now;
    }
    if (newInstance || relisted) {
        entry.detector.reset(now);
    }
    if (newInstance) {
        entry.evidence.reset();
    }
    entry.listed = change.target;
    entry.listing = change.listing;
    // An expired entry is no news of the target. One from an older copy of the store can lack the present warm-up.
    if (newInstance) {
        entry.warmupEnd = now + change.target.warmup;
    } else if (change.listing == ListingState::Present) {
        entry.warmupEnd = std::max(entry.warmupEnd, now + change.target.warmup);
    }
    byId_[id] = index;
}

void TargetTable::remove(TargetIndex index, TimePoint now)
{
    TargetEntry &entry = entries_[index.value];
    if (entry.listing != ListingState::Gone) {
        entry.missingSince = entry.listing == ListingState::Present ? now : entry.missingSince;
        entry.listing = ListingState::Gone;
        entry.listingSince = now;
    }
}

void TargetTable::eraseOldGoneTargets(TimePoint now)
{
    for (auto it = byId_.begin(); it != byId_.end();) {
        const TargetEntry &entry = entries_[it->second.value];
        if (entry.listing == ListingState::Gone && entry.flows == 0 && now - entry.listingSince > GoneRetention) {
            claimNumber(it->second, 0);
            for (const PacketTag tag : entry.tags) {
                byTag_.remove(tag, it->second);
            }
            freeIndexes_.push_back(it->second);
            byId_.erase(it++);
        } else {
            ++it;
        }
    }
}

void TargetTable::rebuildIndexes()
{
    byService_.clear();
    std::vector<std::pair<TargetId, TargetIndex>> ordered(byId_.begin(), byId_.end());
    std::sort(ordered.begin(), ordered.end());
    for (const auto &[id, index] : ordered) {
        const TargetEntry &entry = entries_[index.value];
        if (entry.listing != ListingState::Gone) {
            byService_[entry.listed.target.service].push_back(index);
        }
    }
}

std::optional<TargetIndex> TargetTable::find(PacketTag tag) const
{
    const auto claimants = byTag_.of(tag);
    if (claimants.empty()) {
        return std::nullopt;
    }
    const auto precedence = [this](TargetIndex index) {
        const ListedTarget &listed = at(index).listed;
        return std::tuple(!isListed(index), listed.instance, listed.target.id);
    };
    const TargetIndex owner = *std::min_element(claimants.begin(), claimants.end(), [&](TargetIndex a, TargetIndex b) {
        return precedence(a) < precedence(b);
    });
    return isListed(owner) ? owner : twinOf(owner).value_or(owner);
}

PacketTag TargetTable::ownTag(TargetIndex index) const
{
    const PacketTags &tags = at(index).tags;
    const auto own = std::find_if(tags.begin(), tags.end(), [&](PacketTag tag) { return !byTag_.isShared(tag); });
    return own == tags.end() ? PacketTag{} : *own;
}

bool TargetTable::sharesTag(TargetIndex index, PacketTag tag) const
{
    const PacketTags &tags = at(index).tags;
    return byTag_.isShared(tag) && std::find(tags.begin(), tags.end(), tag) != tags.end();
}

void TargetTable::claimNumber(TargetIndex index, std::uint64_t number)
{
    std::uint64_t &claimed = entries_[index.value].claimedNumber;
    if (claimed == number) {
        return;
    }
    if (claimed != 0) {
        byNumber_.remove(claimed, index);
    }
    if (number != 0) {
        byNumber_.add(number, index);
    }
    claimed = number;
}

bool TargetTable::isSameProcess(TargetIndex first, TargetIndex second) const
{
    const ListedTarget &a = at(first).listed;
    const ListedTarget &b = at(second).listed;
    return a.target.number == b.target.number && a.target.address == b.target.address && a.instance == b.instance;
}

bool TargetTable::ownsNumber(TargetIndex index) const
{
    const auto precedence = [](const TargetEntry &entry) {
        const std::string &name = entry.listed.target.name;
        return std::tuple(entry.knownSince, name.size(), std::string_view(name));
    };
    const std::uint64_t number = at(index).claimedNumber;
    if (!byNumber_.isShared(number)) {
        return true;
    }
    const auto claimants = byNumber_.of(number);
    return std::none_of(claimants.begin(), claimants.end(), [&](TargetIndex other) {
        const bool leaves = at(other).listed.target.state == TargetState::Draining && isSameProcess(index, other);
        return other != index && isListed(other) && (leaves || precedence(at(other)) < precedence(at(index)));
    });
}

std::optional<TargetIndex> TargetTable::twinOf(TargetIndex index) const
{
    const std::uint64_t number = at(index).claimedNumber;
    if (!byNumber_.isShared(number)) {
        return std::nullopt;
    }
    const auto claimants = byNumber_.of(number);
    const auto twin = std::find_if(claimants.begin(), claimants.end(), [&](TargetIndex other) {
        return other != index && isListed(other) && isSameProcess(index, other);
    });
    return twin == claimants.end() ? std::nullopt : std::optional(*twin);
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
