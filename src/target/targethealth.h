#ifndef POPLARROAD_TARGET_TARGETHEALTH_H
#define POPLARROAD_TARGET_TARGETHEALTH_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/**
 * Health of one target by what requests experience there.
 *
 * It only says what the target deserves; the pool decides whether it can do without the target.
 */
class TargetHealth
{
public:
    /** @param success whether the request got its answer; sheds are no failure, since the target answers them */
    void onOutcome(bool success);
    /** Takes the target's own word; a bad one alone never ejects, it makes fewer failures suffice. */
    void onReport(bool healthy)
    {
        reportedHealthy_ = healthy;
    }
    /** @return whether the failures suffice for an ejection */
    bool shouldEject() const;

    bool ejected() const
    {
        return ejected_;
    }
    /** Ejects for a time that doubles with each ejection in a row. */
    void eject(TimePoint now);
    /** Ends the ejection; the failures before it are forgotten. */
    void readmit(TimePoint now);
    TimePoint ejectedUntil() const
    {
        return ejectedUntil_;
    }
    /** @return share of its normal work that the target should get, 0 to 1; below 1 after a return */
    double rampFactor(TimePoint now) const;

private:
    double failureRate_ = 0.0;
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t outcomes_ = 0;
    std::uint32_t consecutiveEjections_ = 0; ///< in a row
    bool reportedHealthy_ = true;
    bool ejected_ = false;
    TimePoint ejectedUntil_;
    TimePoint rampEnd_;
};

} // namespace poplarroad

#endif
