#ifndef POPLARROAD_SERVICE_CONTENTQUEUE_H
#define POPLARROAD_SERVICE_CONTENTQUEUE_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace poplarroad
{

/** What a balancer has of the directory and waits to get more of. */
struct PendingContent
{
    HostAddress host;
    std::uint64_t serviceVersion = 0;
    Revision targets;
};

/**
 * Balancers that wait for content, served in order and no faster than a rate.
 *
 * Whole lists have a queue of their own, so that changes do not wait behind them.
 */
class ContentQueue
{
public:
    /** @param bytesPerSecond that content may take of the link */
    explicit ContentQueue(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    /** Adds a balancer; one that waits already gets one content from the older of both states. */
    void add(const PendingContent &content);
    /** @return the next balancer if the link may take content now; it does not wait any more */
    std::optional<PendingContent> take(TimePoint now);
    /** Tells the size of the content that was sent for the balancer taken last. */
    void onSent(std::size_t bytes, TimePoint now);
    /** @return when take() can have a result next */
    TimePoint nextTimer() const
    {
        return pending_.empty() ? TimePoint::max() : nextSendAt_;
    }

private:
    double bytesPerSecond_;
    std::deque<PendingContent> pending_;
    TimePoint nextSendAt_;
};

} // namespace poplarroad

#endif
