#ifndef POPLARROAD_BASE_EVENTLOOP_H
#define POPLARROAD_BASE_EVENTLOOP_H

#include "poplarroad/clock.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace poplarroad
{

/** Releases libevent objects. */
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

/** The libevent loop of one task. Only the task's thread uses it. */
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
    /** Ends run(); to be called from the loop's own thread. */
    void stop();

private:
    EventBasePtr base_;
};

/** A timer of one event loop that is armed for a point in time and calls back once. */
class LoopTimer
{
public:
    LoopTimer(EventLoop &loop, std::function<void()> callback);
    /** Arms the timer, in place of an earlier time; TimePoint::max() disarms it. */
    void armAt(TimePoint due);
    void armAfter(Microseconds delay);

private:
    static void onTimer(evutil_socket_t, short, void *self);

    std::function<void()> callback_;
    EventPtr event_;
};

/** Clock of the running process. */
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
