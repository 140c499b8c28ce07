#include "service/openingadmission.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Part of the latency goal that the expected wait may take; the rest covers requests that take longer than the mean. */
constexpr double goalPart(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Critical:
        return 1.0;
    case Urgency::High:
        return 0.9;
    case Urgency::Normal:
        return 0.6;
    case Urgency::Low:
        break;
    }
    return 0.4;
}

/** A free slot is never refused, however long the service takes. */
constexpr double leastPressure = 1.5;
constexpr double smoothing = 0.02;

} // namespace

bool OpeningAdmission::admits(const ServiceRoute &route, double pressure) const
{
    const std::chrono::duration<double, std::milli> allowed = goalPart(route.urgency) * route.latencyGoal;
    return pressure < std::max(leastPressure, allowed / serviceTime_);
}

void OpeningAdmission::onAnswer(TimePoint::duration latency, double pressure)
{
    if (pressure <= 1.0) {
        serviceTime_ += smoothing * (std::chrono::duration<double, std::milli>(latency) - serviceTime_);
    }
}

} // namespace poplarroad
