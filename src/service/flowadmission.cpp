#include "service/flowadmission.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Fraction of the latency goal for the expected wait; the rest covers requests that take longer than the mean. */
constexpr double latencyGoalFraction(Urgency urgency)
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

/** Flows are always admitted below this many requests per slot, so that no slot stays free when requests take long. */
constexpr double MinRequestsPerSlot = 1.5;
constexpr double ServiceTimeSmoothing = 0.02; ///< weight of the latest sample in the moving average

} // namespace

bool FlowAdmission::admits(const ServiceRoute &route, double requestsPerSlot) const
{
    const std::chrono::duration<double, std::milli> allowed = latencyGoalFraction(route.urgency) * route.latencyGoal;
    return requestsPerSlot < std::max(MinRequestsPerSlot, allowed / serviceTime_);
}

void FlowAdmission::onAnswer(TimePoint::duration latency, double requestsPerSlot)
{
    if (requestsPerSlot <= 1.0) {
        serviceTime_ += ServiceTimeSmoothing * (std::chrono::duration<double, std::milli>(latency) - serviceTime_);
    }
}

} // namespace poplarroad
