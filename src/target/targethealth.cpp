#include "targethealth.h"

#include <algorithm>

namespace poplarroad
{

namespace
{
constexpr double FailureRateSmoothing = 0.1; ///< weight of the latest outcome in the moving average
constexpr double EjectFailureRate = 0.5; ///< fraction of the outcomes
constexpr std::uint32_t EjectConsecutiveFailures = 5;
constexpr std::uint32_t EjectConsecutiveFailuresReported = 3; ///< when the target reports itself unhealthy
constexpr std::uint32_t MinOutcomes = 10; ///< a failure rate over fewer outcomes is not significant
constexpr std::uint32_t MaxDoublings = 4; ///< of BaseEjectionTime
constexpr std::chrono::seconds BaseEjectionTime{ 2 };
constexpr std::chrono::seconds RampDuration{ 5 };
/** Outcomes since the last readmission after which the ejection time starts from the base again. */
constexpr std::uint32_t EjectionResetOutcomes = 50;
} // namespace

void TargetHealth::onOutcome(bool success)
{
    ++outcomes_;
    failureRate_ += FailureRateSmoothing * ((success ? 0.0 : 1.0) - failureRate_);
    consecutiveFailures_ = success ? 0 : consecutiveFailures_ + 1;
    if (outcomes_ >= EjectionResetOutcomes && failureRate_ < FailureRateSmoothing) {
        consecutiveEjections_ = 0;
    }
}

bool TargetHealth::shouldEject() const
{
    return consecutiveFailures_ >= (reportedHealthy_ ? EjectConsecutiveFailures : EjectConsecutiveFailuresReported)
        || (outcomes_ >= MinOutcomes && failureRate_ > EjectFailureRate);
}

void TargetHealth::eject(TimePoint now)
{
    ejected_ = true;
    ejectedUntil_ = now + BaseEjectionTime * (1U << std::min(consecutiveEjections_, MaxDoublings));
    ++consecutiveEjections_;
}

void TargetHealth::readmit(TimePoint now)
{
    ejected_ = false;
    failureRate_ = 0.0;
    consecutiveFailures_ = 0;
    outcomes_ = 0;
    rampEnd_ = now + RampDuration;
}

double TargetHealth::rampFactor(TimePoint now) const
{
    if (now >= rampEnd_) {
        return 1.0;
    }
    const std::chrono::duration<double> remaining = rampEnd_ - now;
    const double fraction = 1.0 - remaining.count() / static_cast<double>(RampDuration.count());
    return std::clamp(fraction, 0.1, 1.0);
}

} // namespace poplarroad
