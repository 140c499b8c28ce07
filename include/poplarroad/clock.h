#ifndef POPLARROAD_CLOCK_H
#define POPLARROAD_CLOCK_H

#include <chrono>
#include <cstdint>

namespace poplarroad
{

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/** Monotonic time; comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Source of monotonic time; an interface so that tests can control the time. */
class Clock
{
public:
    virtual ~Clock() = default;
    /** @return the current monotonic time */
    virtual TimePoint now() const = 0;
};

/** Source of random numbers; an interface so that a run can be reproduced from its seed. */
class Random
{
public:
    virtual ~Random() = default;
    /** @return a uniformly distributed 64-bit number */
    virtual std::uint64_t next() = 0;
    /**
     * @param bound exclusive upper bound, greater than 0
     * @return a random number in [0, bound)
     */
    std::uint64_t nextBelow(std::uint64_t bound)
    {
        return next() % bound;
    }
    /** @return a uniformly distributed number in [0, 1) */
    double nextDouble()
    {
        constexpr double scale = 1.0 / static_cast<double>(1ULL << 53);
        return static_cast<double>(next() >> 11) * scale;
    }
};

} // namespace poplarroad

#endif
