#include "routework.h"

#include <algorithm>
#include <cmath>

namespace poplarroad
{

namespace
{

/** Number of samples after which the mean becomes a moving average with the weight of the last sample then. */
constexpr double MeanSamples = 50.0;
/** Time constant of the admitted work; a balancer of a large zone admits some 25 flows in it. */
constexpr double AdmittedTimeConstantMs = 1000.0;

double milliseconds(TimePoint::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void RouteWork::onAnswer(TimePoint::duration latency, bool ranAtOnce)
{
    if (ranAtOnce) {
        samples_ = std::min(samples_ + 1.0, MeanSamples);
        expectedMs_ += (milliseconds(latency) - expectedMs_) / samples_;
    }
    answers_ += isKnown() ? 0 : 1;
}

void RouteWork::onAdmitted(TimePoint now)
{
    admittedMs_ = admittedMs(now) + expectedMs_;
    admittedAt_ = now;
}

double RouteWork::admittedMs(TimePoint now) const
{
    return admittedMs_ * std::exp(-milliseconds(now - admittedAt_) / AdmittedTimeConstantMs);
}

} // namespace poplarroad
