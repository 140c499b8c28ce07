#ifndef POPLARROAD_HOST_PAUSEDETECTOR_H
#define POPLARROAD_HOST_PAUSEDETECTOR_H

#include "base/eventloop.h"

#include <functional>

namespace poplarroad
{

/**
 * Notices that the loop of a task stood still, for example because the process was stopped.
 *
 * The owner asks before it handles a message: what waited in sockets and mailboxes is handled in any order after a pause, so
 * a timer alone would notice too late.
 */
class PauseDetector
{
public:
    /**
     * @param loop the loop of the task
     * @param limit a longer gap between two beats counts as a pause
     * @param onPaused called in the task's thread with the length of the pause, once for each pause
     */
    PauseDetector(EventLoop &loop, Milliseconds limit, std::function<void(Milliseconds)> onPaused)
        : limit_(limit)
        , onPaused_(std::move(onPaused))
        , lastBeat_(std::chrono::steady_clock::now())
        , beat_(loop, [this] { onBeat(); })
    {
    }

    /** Starts the beats; to be called in the task's thread or before it runs. */
    void start()
    {
        lastBeat_ = std::chrono::steady_clock::now();
        beat_.armAfter(BeatPeriod);
    }

    /** Calls onPaused if the loop stood still since the last beat. */
    void check()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const auto gap = std::chrono::duration_cast<Milliseconds>(now - lastBeat_);
        if (gap > limit_) {
            lastBeat_ = now;
            onPaused_(gap);
        }
    }

private:
    static constexpr Milliseconds BeatPeriod{ 100 };

    void onBeat()
    {
        check();
        lastBeat_ = std::chrono::steady_clock::now();
        beat_.armAfter(BeatPeriod);
    }

    Milliseconds limit_;
    std::function<void(Milliseconds)> onPaused_;
    TimePoint lastBeat_;
    LoopTimer beat_;
};

} // namespace poplarroad

#endif
