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

/** State of a sequence number in the window of its flow. */
enum class SequenceState : std::uint8_t {
    Unseen, ///< not recorded yet
    Seen, ///< recorded, and not refused
    Refused, ///< reported as not run; this state is final
    BelowWindow, ///< too old to be tracked
};

/** Replay window of a flow: the state of the highest recorded sequence number and of the 63 below it. */
class SequenceWindow
{
public:
    static constexpr std::uint64_t Width = 64; ///< in sequence numbers

    /** @return whether no number is recorded in the window */
    bool empty() const
    {
        return seen_ == 0;
    }
    /** @return whether the number is above all recorded ones */
    bool isNewest(std::uint64_t sequence) const
    {
        return empty() || sequence > highest_;
    }
    SequenceState stateOf(std::uint64_t sequence) const;
    /** Records a number, which must not be below the window. */
    void markSeen(std::uint64_t sequence);
    /** Marks a number as reported not run; a number outside the window is ignored. */
    void markRefused(std::uint64_t sequence);

private:
    std::uint64_t highest_ = 0;
    std::uint64_t seen_ = 0; ///< bit i stands for highest_ - i
    std::uint64_t refused_ = 0; ///< same bit order as seen_
};

/** State of one flow. */
struct Flow
{
    SequenceWindow window;
    std::uint32_t lastUse = 0; ///< seconds since the table was made, rounded up so that no flow expires early
    std::uint16_t target = 0; ///< index in the dispatcher's list of targets; NoTarget until one is chosen
    std::uint16_t activeRequests : 12 = 0; ///< requests queued or in progress; the flow is kept while there are any
    std::uint16_t established : 1 = 0; ///< the caller returned; not evicted for a new flow
    std::uint16_t confirmed : 1 = 0; ///< the caller returned with a token of this process
    std::uint16_t tokenBound : 1 = 0; ///< has a non-idempotent request; not evicted, since its token may still be valid

    static constexpr std::uint16_t NoTarget = 0xffff;
    static constexpr std::uint16_t MaxActiveRequests = (1U << 12U) - 1; ///< largest value that its bits can hold
};

/**
 * The flows of one pool.
 *
 * They are sharded, so that a rehash or a step of the expiry visits only a small part of them.
 */
class FlowTable
{
public:
    static constexpr std::size_t ShardCount = 64;

    /**
     * @param maxFlows limit on the number of flows
     * @param idleTime time after which an idle flow expires
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
     * Finds a flow or adds it. A full table first evicts a flow without active requests that is neither established nor
     * token-bound, if a bounded search of the same shard finds one.
     *
     * @return the flow, or nullptr if the table is full
     */
    Flow *findOrInsert(FlowId id, TimePoint now);
    /** Sets the time of the last use of the flow. */
    void touch(Flow &flow, TimePoint now) const;
    /** @return time since the last use of the flow, in whole seconds rounded down */
    std::chrono::seconds idleFor(const Flow &flow, TimePoint now) const;
    void erase(FlowId id);
    /** Calls the function with every flow; this takes milliseconds for hundreds of thousands of flows. */
    template<typename Function>
    void forEach(Function function)
    {
        for (Shard &shard : shards_) {
            for (auto &[id, flow] : shard) {
                function(flow);
            }
        }
    }
    /** Expires idle flows in the shards that are due; a pass over all shards takes ShardCount * SweepInterval. */
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
        // Multiplicative hashing: consecutive identifiers spread over the upper bits.
        return (id.value * 0x9e3779b97f4a7c15ULL) >> 58U;
    }
    /** @return time since the table was made in seconds, rounded up */
    std::uint32_t secondsAt(TimePoint now) const;
    /** Evicts one flow, if a bounded search finds a suitable one. @return whether it did */
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
