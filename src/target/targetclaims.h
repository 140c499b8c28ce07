#ifndef POPLARROAD_TARGET_TARGETCLAIMS_H
#define POPLARROAD_TARGET_TARGETCLAIMS_H

#include "poplarroad/id.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <vector>

namespace poplarroad
{

/** Index of a target in a TargetTable; reused only after GoneRetention and the end of the target's flows. */
using TargetIndex = Id<struct TargetIndexTag, std::uint32_t>;

/** Maps keys to the targets that claim them. Nearly every key has a single claimant, which costs one map entry. */
template<typename Key>
class TargetClaims
{
public:
    void add(const Key &key, TargetIndex index)
    {
        const auto shared = shared_.find(key);
        if (shared != shared_.end()) {
            shared->second.push_back(index);
            return;
        }
        const auto [single, added] = single_.try_emplace(key, index);
        if (!added) {
            shared_[key] = { single->second, index };
            single_.erase(single);
        }
    }
    void remove(const Key &key, TargetIndex index)
    {
        const auto shared = shared_.find(key);
        if (shared == shared_.end()) {
            single_.erase(key);
            return;
        }
        std::erase(shared->second, index);
        if (shared->second.size() == 1) {
            single_[key] = shared->second.front();
            shared_.erase(shared);
        }
    }
    bool isShared(const Key &key) const
    {
        return !shared_.empty() && shared_.contains(key);
    }
    /** @return the targets that claim the key, in the order in which they were added; valid until the next change */
    std::span<const TargetIndex> of(const Key &key) const
    {
        const auto single = single_.find(key);
        if (single != single_.end()) {
            return { &single->second, 1 };
        }
        const auto shared = shared_.find(key);
        return shared == shared_.end() ? std::span<const TargetIndex>() : shared->second;
    }
    /** @return the number of keys that several targets claim */
    std::size_t sharedKeys() const
    {
        return shared_.size();
    }

private:
    absl::flat_hash_map<Key, TargetIndex> single_;
    absl::flat_hash_map<Key, std::vector<TargetIndex>> shared_;
};

} // namespace poplarroad

#endif
