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
 * Copy-on-write hash map, split into shards that copies of the map share.
 *
 * A copy costs one pointer per shard, and a change clones only the shard of its key. Only one thread may modify a map;
 * any number of threads may read or copy a map that is not being modified.
 */
template<typename Key, typename Value>
class ShardedMap
{
    using Shard = absl::flat_hash_map<Key, Value>;

public:
    using key_type = Key;
    using mapped_type = Value;

    /** With 256 shards, cloning one copies fewer than 600 entries at 140,000 targets. */
    static constexpr std::size_t ShardCount = 256;

    /** Forward iterator over all entries, in unspecified order. */
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
        : ownerId_(nextOwnerId())
    {
    }
    ShardedMap(const ShardedMap &other)
        : shards_(other.shards_)
        , size_(other.size_)
        , ownerId_(nextOwnerId())
    {
        // The shards are now shared: a new owner id makes the other map clone them before a change, too.
        other.ownerId_.store(nextOwnerId(), std::memory_order_relaxed);
    }
    ShardedMap(ShardedMap &&other) noexcept
        : shards_(std::move(other.shards_))
        , size_(std::exchange(other.size_, 0))
        , ownerId_(other.ownerId_.exchange(nextOwnerId(), std::memory_order_relaxed))
    {
    }
    ShardedMap &operator=(ShardedMap other) noexcept
    {
        shards_.swap(other.shards_);
        size_ = other.size_;
        ownerId_.store(other.ownerId_.load(std::memory_order_relaxed), std::memory_order_relaxed);
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
    /** @return the value of the key, or nullptr; valid until this map is modified */
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
    /** @return the value of a key, which must exist */
    const Value &at(const Key &key) const
    {
        return *get(key);
    }
    /** @return the value of the key for modification; default-constructed if the key is new */
    Value &getOrInsert(const Key &key)
    {
        const auto [entry, inserted] = mutableShard(shardOf(key)).try_emplace(key);
        size_ += inserted ? 1 : 0;
        return entry->second;
    }
    /** Removes a key if it exists. */
    void erase(const Key &key)
    {
        if (contains(key)) {
            mutableShard(shardOf(key)).erase(key);
            --size_;
        }
    }

private:
    struct OwnedShard
    {
        std::uint64_t ownerId;
        Shard entries;
    };

    static std::uint64_t nextOwnerId()
    {
        static std::atomic<std::uint64_t> next{ 1 };
        return next.fetch_add(1, std::memory_order_relaxed);
    }
    static std::size_t shardOf(const Key &key)
    {
        // The hash table of the shard uses the lower bits; reusing them here would cluster its entries.
        constexpr unsigned upperBits = 40;
        return (static_cast<std::uint64_t>(absl::Hash<Key>{}(key)) >> upperBits) % ShardCount;
    }
    Shard &mutableShard(std::size_t index)
    {
        const std::uint64_t ownerId = ownerId_.load(std::memory_order_relaxed);
        std::shared_ptr<OwnedShard> &shard = shards_[index];
        if (!shard || shard->ownerId != ownerId) {
            shard = std::make_shared<OwnedShard>(OwnedShard{ ownerId, shard ? shard->entries : Shard() });
        }
        return shard->entries;
    }

    std::array<std::shared_ptr<OwnedShard>, ShardCount> shards_;
    std::size_t size_ = 0;
    mutable std::atomic<std::uint64_t> ownerId_; ///< shards with another owner id are shared and cloned before a change
};

} // namespace poplarroad

#endif
