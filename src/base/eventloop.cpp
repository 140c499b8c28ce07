#include "base/eventloop.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

struct ConfigDeleter
{
    void operator()(event_config *config) const
    {
        event_config_free(config);
    }
};

event_base *newBase()
{
    const std::unique_ptr<event_config, ConfigDeleter> config(event_config_new());
    // Reading the environment takes 16 system calls for each loop, a part of the start that small hosts notice.
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_IGNORE_ENV);
    return event_base_new_with_config(config.get());
}

} // namespace

EventLoop::EventLoop()
    : base_(newBase())
{
}

void EventLoop::run()
{
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(base_.get());
}

LoopTimer::LoopTimer(EventLoop &loop, std::function<void()> callback)
    : callback_(std::move(callback))
    , event_(evtimer_new(loop.base(), &LoopTimer::onTimer, this))
{
}

void LoopTimer::onTimer(evutil_socket_t /*socket*/, short /*what*/, void *self)
{
    static_cast<LoopTimer *>(self)->callback_();
}

void LoopTimer::armAt(TimePoint due)
{
    if (due == TimePoint::max()) {
        evtimer_del(event_.get());
        return;
    }
    armAfter(std::chrono::ceil<Microseconds>(due - std::chrono::steady_clock::now()));
}

void LoopTimer::armAfter(Microseconds delay)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    const std::int64_t count = std::max<std::int64_t>(delay.count(), 0);
    timeval interval{};
    interval.tv_sec = count / microsecondsPerSecond;
    interval.tv_usec = count % microsecondsPerSecond;
    evtimer_add(event_.get(), &interval);
}

} // namespace poplarroad
