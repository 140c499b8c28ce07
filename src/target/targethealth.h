#ifndef POPLARROAD_TARGET_TARGETHEALTH_H
#define POPLARROAD_TARGET_TARGETHEALTH_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/**
 * Passive health check of one target, based on the outcomes of its requests.
 *
 * It only recommends an ejection; the pool decides whether it has enough other targets.
 */
class TargetHealth
{
public:
    /** @param success whether the request was answered; a request that the target shed counts as answered */
    void onOutcome(bool success);
    /** Records what the target reports of itself; `false` lowers the failure threshold but never ejects by itself. */
    void onReport(bool healthy)
    {
        reportedHealthy_ = healthy;
    }
    /** @return whether the failures reach a threshold for ejection */
    bool shouldEject() const;

    bool ejected() const
    {
        return ejected_;
    }
    /** Ejects the target; the duration doubles with each consecutive ejection. */
    void eject(TimePoint now);
    /** Ends the ejection, resets the failure counts and starts the ramp-up. */
    void readmit(TimePoint now);
    TimePoint ejectedUntil() const
    {
        return ejectedUntil_;
    }
    /** @return fraction of the normal load for the target, 0.1 to 1; below 1 while it ramps up after an ejection */
    double rampFactor(TimePoint now) const;

private:
    double failureRate_ = 0.0;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t outcomes_ = 0;
    std::uint32_t consecutiveEjections_ = 0;
    bool reportedHealthy_ = true;
    bool ejected_ = false;
    TimePoint ejectedUntil_;
    TimePoint rampEnd_;
};

} // namespace poplarroad

#endif
