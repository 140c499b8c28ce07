#ifndef POPLARROAD_HOST_PAUSEDETECTOR_H
#define POPLARROAD_HOST_PAUSEDETECTOR_H

#include "base/eventloop.h"

#include <functional>

namespace poplarroad
{

/**
 * Detects that the event loop of a task did not run for some time, for example because the process was stopped.
 *
 * The owner should call check() before it handles a message: after a pause, waiting messages and timers are handled in any
 * order, so a timer alone could detect the pause only after outdated messages were handled.
 */
class PauseDetector
{
public:
    /**
     * @param loop the event loop of the task
     * @param limit longer gaps between two checks count as a pause
     * @param onPaused called once for each pause, in the task's thread, with the length of the pause
     */
    PauseDetector(EventLoop &loop, Milliseconds limit, std::function<void(Milliseconds)> onPaused)
        : limit_(limit)
        , onPaused_(std::move(onPaused))
        , lastCheck_(std::chrono::steady_clock::now())
        , timer_(loop, [this] { onTimer(); })
    {
    }

    /** Starts periodic checks; to be called in the task's thread or before it runs. */
    void start()
    {
        lastCheck_ = std::chrono::steady_clock::now();
        timer_.armAfter(CheckPeriod);
    }

    /** Calls onPaused if the last check was too long ago. */
    void check()
    {
        check(std::chrono::steady_clock::now());
    }
    void check(TimePoint now)
    {
        const auto gap = std::chrono::duration_cast<Milliseconds>(now - lastCheck_);
        if (gap > limit_) {
            lastCheck_ = now;
            onPaused_(gap);
        }
    }

private:
    static constexpr Milliseconds CheckPeriod{ 100 };

    void onTimer()
    {
        check();
        lastCheck_ = std::chrono::steady_clock::now();
        timer_.armAfter(CheckPeriod);
    }

    Milliseconds limit_;
    std::function<void(Milliseconds)> onPaused_;
    TimePoint lastCheck_;
    LoopTimer timer_;
};

} // namespace poplarroad

#endif
