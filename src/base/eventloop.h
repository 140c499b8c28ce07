#ifndef POPLARROAD_BASE_EVENTLOOP_H
#define POPLARROAD_BASE_EVENTLOOP_H

#include "poplarroad/clock.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace poplarroad
{

/** Deleter of libevent objects. */
struct EventDeleter
{
    void operator()(event *handle) const
    {
        event_free(handle);
    }
    void operator()(event_base *base) const
    {
        event_base_free(base);
    }
};

using EventBasePtr = std::unique_ptr<event_base, EventDeleter>;
using EventPtr = std::unique_ptr<event, EventDeleter>;

/** The libevent loop of one task, used only by the task's thread. */
class EventLoop
{
public:
    EventLoop();

    event_base *base() const
    {
        return base_.get();
    }
    /** Runs until stop() is called. */
    void run();
    /** Makes run() return; to be called from the loop's own thread. */
    void stop();

private:
    EventBasePtr base_;
};

/** One-shot timer of an event loop. */
class LoopTimer
{
public:
    LoopTimer(EventLoop &loop, std::function<void()> callback);
    /** Arms the timer, replacing an earlier due time; TimePoint::max() disarms it. */
    void armAt(TimePoint due);
    void armAfter(Microseconds delay);

private:
    static void onTimer(evutil_socket_t, short, void *self);

    std::function<void()> callback_;
    EventPtr event_;
};

/** The steady clock of the process. */
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace poplarroad

#endif
