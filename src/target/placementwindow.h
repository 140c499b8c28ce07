#ifndef POPLARROAD_TARGET_PLACEMENTWINDOW_H
#define POPLARROAD_TARGET_PLACEMENTWINDOW_H

#include "poplarroad/clock.h"

#include <array>
#include <cstdint>

namespace poplarroad
{

/**
 * Counts events of the last 1.25 s in constant memory.
 *
 * Events are counted by intervals of 50 ms, and an interval stays in the window until all of it is older than that. The
 * count is therefore never too small.
 */
class PlacementWindow
{
public:
    /**
     * A bound on the events of any second at the receiver needs a longer window at the sender: packets that are sent
     * more than a second apart arrive within one second if the later one is delayed less. 250 ms exceed the difference
     * between the delays of any two paths, including a wait in a processor's run queue.
     */
    static constexpr Milliseconds Length{ 1250 };

    void add(TimePoint now)
    {
        advance(now);
        ++counts_[slotOf(newest_)];
        ++sum_;
    }
    /** @return the events of the last 1.25 s, and of up to 50 ms before */
    std::uint32_t count(TimePoint now)
    {
        advance(now);
        return sum_;
    }

private:
    static constexpr Milliseconds Interval{ 50 };
    static constexpr std::size_t Slots = Length / Interval + 1;

    static std::size_t slotOf(std::int64_t interval)
    {
        return static_cast<std::size_t>(interval) % Slots;
    }
    void advance(TimePoint now)
    {
        const std::int64_t current = now.time_since_epoch() / Interval;
        for (std::size_t passed = 0; newest_ < current && passed < Slots; ++passed) {
            ++newest_;
            sum_ -= counts_[slotOf(newest_)];
            counts_[slotOf(newest_)] = 0;
        }
        // Once each slot was emptied, any number can stand for the newest interval.
        newest_ = newest_ < current ? current : newest_;
    }

    std::array<std::uint32_t, Slots> counts_{};
    std::uint32_t sum_ = 0;
    std::int64_t newest_ = 0;
};

} // namespace poplarroad

#endif
