#ifndef POPLARROAD_SERVICE_FLOWTABLE_H
#define POPLARROAD_SERVICE_FLOWTABLE_H

#include "poplarroad/clock.h"
#include "poplarroad/id.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace poplarroad
{

/** What the window of a flow knows of a sequence number. */
enum class SequenceState : std::uint8_t {
    Unseen, ///< not seen before
    Seen, ///< recorded before, and not refused
    Refused, ///< reported as not run; final
    BelowWindow, ///< too old to tell
};

/** The sequence numbers of one flow: the highest one and the 64 up to it. */
class SequenceWindow
{
public:
    static constexpr std::uint64_t Width = 64;

    /** @return whether no number was recorded yet */
    bool empty() const
    {
        return seen_ == 0;
    }
    /** @return whether the number is above all that were recorded */
    bool isNewest(std::uint64_t sequence) const
    {
        return empty() || sequence > highest_;
    }
    SequenceState stateOf(std::uint64_t sequence) const;
    /** Records a number that is not below the window. */
    void markSeen(std::uint64_t sequence);
    /** Marks a number as reported not run; it has to be in the window. */
    void markRefused(std::uint64_t sequence);

private:
    std::uint64_t highest_ = 0;
    std::uint64_t seen_ = 0; ///< bit i stands for highest_ - i
    std::uint64_t refused_ = 0;
};

/** One flow: its target, its last use and its requests. */
struct Flow
{
    SequenceWindow window;
    std::uint32_t lastUse = 0; ///< seconds since the table was made, rounded up so that no flow leaves early
    std::uint16_t target = 0; ///< index of the target in the dispatcher's list; NoTarget before the first choice
    std::uint16_t activeRequests : 12 = 0; ///< requests queued or in progress; such a flow is never dropped
    std::uint16_t established : 1 = 0; ///< the caller came back; not evicted for a new flow
    std::uint16_t confirmed : 1 = 0; ///< the caller came back with a token of this process
    std::uint16_t tokenBound : 1 = 0; ///< has a non-idempotent request; kept while a token can be valid

    static constexpr std::uint16_t NoTarget = 0xffff;
    static constexpr std::uint16_t MaxActive = (1U << 12U) - 1;
};

/**
 * The flows of one pool.
 *
 * The flows are spread over shards, so that neither the growth of a hash table nor a step of the expiry visits more
 * than a small part of them.
 */
class FlowTable
{
public:
    static constexpr std::size_t ShardCount = 64;

    /**
     * @param maxFlows the most flows that are kept
     * @param idleTime how long an idle flow stays
     */
    FlowTable(std::size_t maxFlows, std::chrono::seconds idleTime, TimePoint now);

    /** @return the flow, or nullptr; the pointer is valid until the next insert or erase */
    Flow *find(FlowId id)
    {
        auto &shard = shards_[shardOf(id)];
        const auto found = shard.find(id);
        return found == shard.end() ? nullptr : &found->second;
    }
    /**
     * Finds a flow or adds it. A full table drops an idle flow that is not established, if one is found nearby.
     *
     * @return the flow, or nullptr when the table has no room
     */
    Flow *findOrInsert(FlowId id, TimePoint now);
    /** Notes that the flow is in use. */
    void touch(Flow &flow, TimePoint now) const;
    /** @return time since the last use of the flow, in whole seconds rounded down */
    std::chrono::seconds idleFor(const Flow &flow, TimePoint now) const;
    void erase(FlowId id);
    /** Calls back with every flow, which takes milliseconds for hundreds of thousands of flows. */
    template<typename Function>
    void forEach(Function function)
    {
        for (Shard &shard : shards_) {
            for (auto &[id, flow] : shard) {
                function(flow);
            }
        }
    }
    /** Drops idle flows of the shards that are due; a whole round takes Shards * SweepInterval. */
    void onTimer(TimePoint now);
    TimePoint nextTimer() const
    {
        return nextSweep_;
    }
    std::size_t size() const
    {
        return size_;
    }

    static constexpr Milliseconds SweepInterval{ 250 };

private:
    using Shard = absl::flat_hash_map<FlowId, Flow>;

    static std::size_t shardOf(FlowId id)
    {
        // The multiplication spreads consecutive identifiers; the upper bits are the mixed ones.
        return (id.value * 0x9e3779b97f4a7c15ULL) >> 58U;
    }
    std::uint32_t secondsAt(TimePoint now) const;
    bool evictFrom(Shard &shard);
    void sweep(Shard &shard, std::uint32_t now);

    std::array<Shard, ShardCount> shards_;
    std::size_t maxFlows_;
    std::size_t size_ = 0;
    std::uint32_t idleSeconds_;
    std::size_t nextShard_ = 0;
    TimePoint start_;
    TimePoint nextSweep_;
};

} // namespace poplarroad

#endif
