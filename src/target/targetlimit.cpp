#include "targetlimit.h"

#include <algorithm>

namespace poplarroad
{

namespace
{
constexpr double LatencySmoothing = 0.1; ///< weight of the latest sample in the moving average
constexpr double ShedDecreaseFactor = 0.7;
constexpr double LatencyDecreaseFactor = 0.9;
constexpr double LatencyTolerance = 2.0; ///< times the minimum; requests of one kind vary up to about this factor
constexpr std::chrono::seconds MinimumLatencyEpoch{ 10 }; ///< period of a latency minimum
constexpr std::chrono::seconds ShedHoldTime{ 10 }; ///< before the limit may again reach the concurrency that was shed
constexpr std::chrono::milliseconds MinDecreaseInterval{ 100 }; ///< a burst of sheds has one cause and counts once
} // namespace

TargetLimit::TargetLimit(std::uint32_t slots, bool slowStart)
    : slots_(std::max(slots, 1U))
    , limit_(slowStart ? 1.0 : slots_)
    , slowStart_(slowStart)
{
}

void TargetLimit::setSlots(std::uint32_t slots)
{
    slots = std::max(slots, 1U);
    if (slots == slots_) {
        return;
    }
    slots_ = slots;
    limit_ = slowStart_ ? std::min<double>(limit_, slots_) : slots_;
}

void TargetLimit::restartSlowStart()
{
    slowStart_ = true;
    limit_ = 1.0;
    answersInWindow_ = 0;
    limitReached_ = false;
}

void TargetLimit::onAnswered(Microseconds latency, std::uint32_t inProgress, TimePoint now)
{
    addLatencySample(static_cast<double>(latency.count()), now);
    limitReached_ = limitReached_ || inProgress >= limit();
    const double minimum = previousMinimumUs_ > 0 ? std::min(previousMinimumUs_, minimumUs_) : minimumUs_;
    if (latencyUs_ > LatencyTolerance * minimum && inProgress >= slots_ && limit_ > slots_) {
        decrease(LatencyDecreaseFactor, slots_, now);
        return;
    }
    // A window has as many answers as the limit, and at least 2: a smaller one would follow single fast answers.
    if (++answersInWindow_ >= std::max(limit(), 2U)) {
        increase(now);
    }
}

void TargetLimit::addLatencySample(double us, TimePoint now)
{
    us = std::max(us, 1.0);
    latencyUs_ = latencyUs_ > 0 ? latencyUs_ + LatencySmoothing * (us - latencyUs_) : us;
    if (now >= epochEnd_) {
        previousMinimumUs_ = minimumUs_;
        minimumUs_ = us;
        epochEnd_ = now + MinimumLatencyEpoch;
    }
    minimumUs_ = std::min(minimumUs_, us);
}

void TargetLimit::onShed(std::uint32_t inProgress, TimePoint now)
{
    shedConcurrency_ = std::max(inProgress, 2U);
    shedBoundEnd_ = now + ShedHoldTime;
    // Below the declared slots only if the target shed at that concurrency or less: losing one of 3 costs a third.
    decrease(ShedDecreaseFactor, std::min(slots_, shedConcurrency_ - 1), now);
}

void TargetLimit::increase(TimePoint now)
{
    answersInWindow_ = 0;
    if (slowStart_) {
        limit_ = std::min<double>(2 * limit_, slots_);
        slowStart_ = limit_ < slots_;
    } else if (limitReached_) {
        limit_ = std::max(1.0, std::min(limit_ + 1, ceilingAt(now)));
    }
    limitReached_ = false;
}

void TargetLimit::decrease(double factor, std::uint32_t lowest, TimePoint now)
{
    answersInWindow_ = 0;
    limitReached_ = false;
    if (now < lastDecrease_ + MinDecreaseInterval) {
        return;
    }
    lastDecrease_ = now;
    const double decreased = std::max<double>(lowest, std::min(limit_ * factor, ceilingAt(now)));
    limit_ = std::max(1.0, std::min(limit_, decreased));
}

double TargetLimit::ceilingAt(TimePoint now) const
{
    const double ceiling = 2.0 * slots_;
    return now < shedBoundEnd_ ? std::min<double>(ceiling, shedConcurrency_ - 1) : ceiling;
}

} // namespace poplarroad
