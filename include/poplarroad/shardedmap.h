#ifndef POPLARROAD_SHARDEDMAP_H
#define POPLARROAD_SHARDEDMAP_H

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <utility>

namespace poplarroad
{

/**
 * Hash map whose copies share their entries until one of them is changed.
 *
 * A copy costs one pointer for each shard, and a change clones only the shard of its key. An object is changed by one
 * thread; any number of threads may read or copy an object that nobody changes.
 */
template<typename Key, typename Value>
class ShardedMap
{
    using Shard = absl::flat_hash_map<Key, Value>;

public:
    using key_type = Key;
    using mapped_type = Value;

    /** 256 shards keep the clone of one shard under 600 entries at 140,000 targets. */
    static constexpr std::size_t ShardCount = 256;

    /** Forward iterator over all entries, in no particular order. */
    class ConstIterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = typename Shard::value_type;
        using difference_type = std::ptrdiff_t;
        using pointer = const value_type *;
        using reference = const value_type &;

        reference operator*() const
        {
            return *entry_;
        }
        pointer operator->() const
        {
            return &*entry_;
        }
        ConstIterator &operator++()
        {
            ++entry_;
            skipEmpty();
            return *this;
        }
        friend bool operator==(const ConstIterator &a, const ConstIterator &b)
        {
            return a.shard_ == b.shard_ && (a.shard_ == ShardCount || a.entry_ == b.entry_);
        }

    private:
        friend class ShardedMap;
        ConstIterator(const ShardedMap &map, std::size_t shard)
            : map_(&map)
            , shard_(shard)
        {
            if (shard_ < ShardCount && map_->shards_[shard_]) {
                entry_ = map_->shards_[shard_]->entries.begin();
            }
            skipEmpty();
        }
        void skipEmpty()
        {
            while (shard_ < ShardCount
                   && (!map_->shards_[shard_] || entry_ == std::as_const(map_->shards_[shard_]->entries).end())) {
                ++shard_;
                if (shard_ < ShardCount && map_->shards_[shard_]) {
                    entry_ = std::as_const(map_->shards_[shard_]->entries).begin();
                }
            }
        }

        const ShardedMap *map_;
        std::size_t shard_;
        typename Shard::const_iterator entry_;
    };

    ShardedMap()
        : owner_(nextOwner())
    {
    }
    ShardedMap(const ShardedMap &other)
        : shards_(other.shards_)
        , size_(other.size_)
        , owner_(nextOwner())
    {
        // The other object no longer owns its shards alone.
        other.owner_.store(nextOwner(), std::memory_order_relaxed);
    }
    ShardedMap(ShardedMap &&other) noexcept
        : shards_(std::move(other.shards_))
        , size_(std::exchange(other.size_, 0))
        , owner_(other.owner_.exchange(nextOwner(), std::memory_order_relaxed))
    {
    }
    ShardedMap &operator=(ShardedMap other) noexcept
    {
        shards_.swap(other.shards_);
        size_ = other.size_;
        owner_.store(other.owner_.load(std::memory_order_relaxed), std::memory_order_relaxed);
        return *this;
    }
    ~ShardedMap() = default;

    std::size_t size() const
    {
        return size_;
    }
    bool empty() const
    {
        return size_ == 0;
    }
    ConstIterator begin() const
    {
        return ConstIterator(*this, 0);
    }
    ConstIterator end() const
    {
        return ConstIterator(*this, ShardCount);
    }
    /** @return the value of the key, or nullptr; valid until this object changes */
    const Value *get(const Key &key) const
    {
        const auto &shard = shards_[shardOf(key)];
        if (!shard) {
            return nullptr;
        }
        const auto found = shard->entries.find(key);
        return found == shard->entries.end() ? nullptr : &found->second;
    }
    bool contains(const Key &key) const
    {
        return get(key) != nullptr;
    }
    /** @return the value of a key that the map holds */
    const Value &at(const Key &key) const
    {
        return *get(key);
    }
    /** @return the value of the key to be changed; a new one when the map does not hold the key */
    Value &getOrInsert(const Key &key)
    {
        const auto [entry, inserted] = ownShard(shardOf(key)).try_emplace(key);
        size_ += inserted ? 1 : 0;
        return entry->second;
    }
    /** Removes a key; no effect when the map does not hold it. */
    void erase(const Key &key)
    {
        if (contains(key)) {
            ownShard(shardOf(key)).erase(key);
            --size_;
        }
    }

private:
    struct OwnedShard
    {
        std::uint64_t owner;
        Shard entries;
    };

    static std::uint64_t nextOwner()
    {
        static std::atomic<std::uint64_t> next{ 1 };
        return next.fetch_add(1, std::memory_order_relaxed);
    }
    static std::size_t shardOf(const Key &key)
    {
        // Other bits than those that the table of the shard uses, so that its entries stay spread.
        constexpr unsigned upperBits = 40;
        return (static_cast<std::uint64_t>(absl::Hash<Key>{}(key)) >> upperBits) % ShardCount;
    }
    Shard &ownShard(std::size_t index)
    {
        const std::uint64_t owner = owner_.load(std::memory_order_relaxed);
        std::shared_ptr<OwnedShard> &shard = shards_[index];
        if (!shard || shard->owner != owner) {
            shard = std::make_shared<OwnedShard>(OwnedShard{ owner, shard ? shard->entries : Shard() });
        }
        return shard->entries;
    }

    std::array<std::shared_ptr<OwnedShard>, ShardCount> shards_;
    std::size_t size_ = 0;
    mutable std::atomic<std::uint64_t> owner_; ///< shards with another owner are shared and are cloned before a change
};

} // namespace poplarroad

#endif
