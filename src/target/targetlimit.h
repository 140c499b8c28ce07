#ifndef POPLARROAD_TARGET_TARGETLIMIT_H
#define POPLARROAD_TARGET_TARGETLIMIT_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/**
 * Concurrency limit of one target, adapted by additive increase and multiplicative decrease.
 *
 * A shed lowers it, and so does latency well above the smallest latency of the last seconds. A window of answers
 * without either raises it, but only while the target was used up to its limit.
 */
class TargetLimit
{
public:
    /**
     * @param slots declared slots of the target; the ceiling is twice as many
     * @param slowStart whether the limit starts at 1 and doubles for each good window, instead of at the declared slots
     */
    TargetLimit(std::uint32_t slots, bool slowStart);

    /** Takes changed declared slots. */
    void setSlots(std::uint32_t slots);
    /** Starts cold again, for a target that returns. */
    void restartSlowStart();
    /**
     * Takes the latency of an answer.
     *
     * @param inProgress requests at the target while it ran, this one included
     */
    void onAnswered(Microseconds latency, std::uint32_t inProgress, TimePoint now);
    /** Takes an explicit refusal for load. */
    void onShed(std::uint32_t inProgress, TimePoint now);

    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(limit_);
    }
    std::uint32_t slots() const
    {
        return slots_;
    }
    bool slowStart() const
    {
        return slowStart_;
    }
    /** @return smoothed latency; 0 before the first answer */
    Microseconds latency() const
    {
        return Microseconds(static_cast<std::int64_t>(latencyUs_));
    }

private:
    void addLatencySample(double us, TimePoint now);
    void increase(TimePoint now);
    void decrease(double factor, std::uint32_t lowest, TimePoint now);
    double ceilingAt(TimePoint now) const;

    std::uint32_t slots_;
    double limit_;
    bool slowStart_;
    double latencyUs_ = 0.0;
    double previousMinimumUs_ = 0.0; ///< of the last complete epoch
    double minimumUs_ = 0.0; ///< of the present epoch
    TimePoint epochEnd_;
    std::uint32_t answersInWindow_ = 0;
    bool limitReached_ = false; ///< the limit was reached in the present window
    TimePoint lastDecrease_;
    std::uint32_t shedConcurrency_ = 0; ///< concurrency at which the target last shed load
    TimePoint shedBoundEnd_; ///< until when shedConcurrency_ bounds the limit
};

} // namespace poplarroad

#endif
