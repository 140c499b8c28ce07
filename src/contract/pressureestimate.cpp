#include "pressureestimate.h"

#include <cmath>
#include <utility>

namespace poplarroad
{

namespace
{

/** Time constant of the smoothing; the reports of peers, on which the load depends, are up to that old. */
constexpr double TimeConstantMs = 200.0;
/**
 * Bounds of pressure in requests per slot. Balancers that know each other's load only from reports fill targets unevenly:
 * from a mean of three quarters of the room on, single targets shed. Lower bounds leave slots idle, see
 * docs/design/admission-under-shortage.md.
 */
constexpr double LowerBound = 0.5 * PressureEstimate::RoomPerSlot;
constexpr double UpperBound = 0.75 * PressureEstimate::RoomPerSlot;
/** Pressure ends below this load, so that a load near the lower bound does not change the state repeatedly. */
constexpr double EndBound = 0.75 * LowerBound;
constexpr double MaxShift = 0.1;

} // namespace

PressureEstimate::PressureEstimate(double jitter)
    : factor_(1.0 + MaxShift * (2.0 * jitter - 1.0))
{
}

bool PressureEstimate::update(double requestsPerSlot, TimePoint now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - updatedAt_).count();
    smoothed_ += (1.0 - std::exp(-elapsedMs / TimeConstantMs)) * (requestsPerSlot - smoothed_);
    updatedAt_ = now;
    const double bound = factor_ * (state_ == Pressure::High ? EndBound : LowerBound);
    const Pressure state = smoothed_ >= bound ? Pressure::High : Pressure::None;
    return std::exchange(state_, state) != state;
}

double PressureEstimate::level() const
{
    return (smoothed_ / factor_ - LowerBound) / (UpperBound - LowerBound);
}

} // namespace poplarroad
