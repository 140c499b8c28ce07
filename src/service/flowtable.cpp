#include "flowtable.h"

#include "contract/invariant.h"

#include <algorithm>

namespace poplarroad
{

SequenceState SequenceWindow::stateOf(std::uint64_t sequence) const
{
    if (sequence > highest_) {
        return SequenceState::Unseen;
    }
    const std::uint64_t age = highest_ - sequence;
    if (age >= Width) {
        return SequenceState::BelowWindow;
    }
    if ((refused_ >> age) & 1U) {
        return SequenceState::Refused;
    }
    return ((seen_ >> age) & 1U) != 0 ? SequenceState::Seen : SequenceState::Unseen;
}

void SequenceWindow::markSeen(std::uint64_t sequence)
{
    if (sequence > highest_) {
        const std::uint64_t shift = sequence - highest_;
        seen_ = shift >= Width ? 0 : seen_ << shift;
        refused_ = shift >= Width ? 0 : refused_ << shift;
        highest_ = sequence;
    }
    POPLARROAD_CHECK(highest_ - sequence < Width);
    seen_ |= 1ULL << (highest_ - sequence);
}

void SequenceWindow::markRefused(std::uint64_t sequence)
{
    if (sequence <= highest_ && highest_ - sequence < Width) {
        refused_ |= 1ULL << (highest_ - sequence);
    }
}

FlowTable::FlowTable(std::size_t maxFlows, std::chrono::seconds idleTime, TimePoint now)
    : maxFlows_(maxFlows)
    , idleSeconds_(static_cast<std::uint32_t>(idleTime.count()))
    , start_(now)
    , nextSweep_(now + SweepInterval)
{
}

std::uint32_t FlowTable::secondsAt(TimePoint now) const
{
    const auto elapsed = std::max(now - start_, TimePoint::duration::zero());
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::seconds>(elapsed).count());
}

Flow *FlowTable::findOrInsert(FlowId id, TimePoint now)
{
    if (Flow *flow = find(id)) {
        return flow;
    }
    Shard &shard = shards_[shardOf(id)];
    if (size_ >= maxFlows_ && !evictFrom(shard)) {
        return nullptr;
    }
    Flow &flow = shard[id];
    flow.target = Flow::NoTarget;
    touch(flow, now);
    ++size_;
    return &flow;
}

void FlowTable::touch(Flow &flow, TimePoint now) const
{
    flow.lastUse = secondsAt(now);
}

std::chrono::seconds FlowTable::idleFor(const Flow &flow, TimePoint now) const
{
    const std::uint32_t seconds = secondsAt(now);
    return std::chrono::seconds(seconds > flow.lastUse ? seconds - flow.lastUse : 0);
}

void FlowTable::erase(FlowId id)
{
    size_ -= shards_[shardOf(id)].erase(id);
}

bool FlowTable::evictFrom(Shard &shard)
{
    // The bound on the search keeps the refusal of new flows cheap during a flood.
    constexpr int maxExamined = 32;
    int examined = 0;
    for (auto it = shard.begin(); it != shard.end() && examined < maxExamined; ++it, ++examined) {
        const Flow &flow = it->second;
        if (flow.activeRequests == 0 && !flow.established && !flow.tokenBound) {
            shard.erase(it);
            --size_;
            return true;
        }
    }
    return false;
}

void FlowTable::onTimer(TimePoint now)
{
    const std::uint32_t seconds = secondsAt(now);
    for (std::size_t swept = 0; nextSweep_ <= now && swept < ShardCount; ++swept) {
        sweep(shards_[nextShard_], seconds);
        nextShard_ = (nextShard_ + 1) % ShardCount;
        nextSweep_ += SweepInterval;
    }
    nextSweep_ = std::max(nextSweep_, now);
}

void FlowTable::sweep(Shard &shard, std::uint32_t now)
{
    for (auto it = shard.begin(); it != shard.end();) {
        const auto current = it++;
        if (current->second.activeRequests == 0 && now > current->second.lastUse + idleSeconds_) {
            shard.erase(current);
            --size_;
        }
    }
}

} // namespace poplarroad
