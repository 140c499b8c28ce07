#ifndef POPLARROAD_TARGET_TARGETEVIDENCE_H
#define POPLARROAD_TARGET_TARGETEVIDENCE_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <cstdint>

namespace poplarroad
{

/** How a target compares with the others of its service and zone. */
enum class TargetStanding : std::uint8_t {
    Usual,
    Slow, ///< its answers take several times as long
    Shedding, ///< a large share of its answers is short and quick, like refusals
};

template<>
struct EnumNames<TargetStanding>
{
    static constexpr std::array table{
        EnumName<TargetStanding>{ TargetStanding::Usual, "usual" },
        EnumName<TargetStanding>{ TargetStanding::Slow, "slow" },
        EnumName<TargetStanding>{ TargetStanding::Shedding, "shedding" },
    };
};

/** Recent answers of one target, with exponential decay, and the result of the last comparison. */
struct TargetEvidence
{
    /**
     * Time constant of the decay. Of a target with 12 answers a second, a balancer of a zone of 20 sees 17 in this time.
     */
    static constexpr std::chrono::seconds Memory{ 6 };
    /** Interval at which a slow or shedding target gets one new flow from each balancer. */
    static constexpr Milliseconds TrialPeriod{ 2000 };

    /** Discards the answers and the comparison. */
    void reset()
    {
        *this = {};
    }
    /** Reduces the sums to their value at `now`. */
    void decay(TimePoint now);
    /** @return answers that are not short, decayed; only their times count */
    double timed() const
    {
        return answers - shortAnswers;
    }
    double meanMs() const
    {
        return timed() > 0.0 ? timeSumMs / timed() : 0.0;
    }
    double shortShare() const
    {
        return answers > 0.0F ? shortAnswers / answers : 0.0;
    }
    /** @return whether a trial flow to a slow or shedding target is due; if so, the trial counts as started */
    bool tryStartTrial(TimePoint now);

    TimePoint decayedAt;
    TimePoint lastTrial;
    float answers = 0.0F;
    float timeSumMs = 0.0F;
    float shortAnswers = 0.0F;
    float unreportedMs = 0.0F; ///< sum of the times of `unreported` answers that are not short
    std::uint16_t unreported = 0; ///< answers seen here since the last report
    std::uint16_t unreportedShort = 0;
    float ratio = 1.0F; ///< time of an answer relative to the median; 1 unless the target is slow
    TargetStanding standing = TargetStanding::Usual;
};

} // namespace poplarroad

#endif
