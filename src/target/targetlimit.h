#ifndef POPLARROAD_TARGET_TARGETLIMIT_H
#define POPLARROAD_TARGET_TARGETLIMIT_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/**
 * Concurrency limit of one target, adapted by additive increase and multiplicative decrease (AIMD).
 *
 * It decreases when the target sheds a request, or when latency is well above its minimum of the last 10 to 20 s. It
 * increases after a window of answers without either, provided that the limit was reached in that window.
 */
class TargetLimit
{
public:
    /**
     * @param slots declared slots of the target; the limit is at most twice as many
     * @param slowStart start at 1 and double the limit per window up to the declared slots, instead of starting there
     */
    TargetLimit(std::uint32_t slots, bool slowStart);

    /** Applies a new number of declared slots. */
    void setSlots(std::uint32_t slots);
    /** Starts slow start again, for a target that returns from an ejection. */
    void restartSlowStart();
    /**
     * Records an answer.
     *
     * @param inProgress concurrent requests at the target, including this one
     */
    void onAnswered(Microseconds latency, std::uint32_t inProgress, TimePoint now);
    /**
     * Records that the target shed a request.
     *
     * @param inProgress concurrent requests at the target, including this one
     */
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
    double previousMinimumUs_ = 0.0; ///< minimum of the last complete epoch
    double minimumUs_ = 0.0; ///< minimum of the current epoch
    TimePoint epochEnd_;
    std::uint32_t answersInWindow_ = 0;
    bool limitReached_ = false; ///< in the current window
    TimePoint lastDecrease_;
    std::uint32_t shedConcurrency_ = 0; ///< concurrency at which the target last shed a request
    TimePoint shedBoundEnd_; ///< until then the limit stays below shedConcurrency_
};

} // namespace poplarroad

#endif
