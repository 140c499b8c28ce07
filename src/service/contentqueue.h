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

/** A balancer that waits for directory content, and the versions that it has already. */
struct PendingContent
{
    HostAddress host;
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< revision of its target list
    bool servicesOnly = false; ///< it has a recent target list, to which no changes are known here

    /** @return whether both lack the same content */
    bool lacksSameAs(const PendingContent &other) const
    {
        return serviceVersion == other.serviceVersion && targets == other.targets && servicesOnly == other.servicesOnly;
    }
};

/**
 * Rate-limited FIFO queue of the balancers that wait for directory content.
 *
 * Changes and complete target lists use separate instances, so that changes do not wait behind complete lists.
 */
class ContentQueue
{
public:
    /** Content for this much time may be sent at once, so that balancers that lack the same share one message. */
    static constexpr Milliseconds Burst{ 20 };

    /** @param bytesPerSecond bandwidth that content may use, in bytes per second */
    explicit ContentQueue(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    /** Adds a balancer. If it is queued already, its entry is updated to the older of both versions. */
    void add(const PendingContent &content);
    /** Removes the first balancer. @return it, or nothing if the queue is empty or the rate allows no content yet */
    std::optional<PendingContent> take(TimePoint now);
    /** Charges content that was sent against the rate. @param bytes size of the content */
    void onSent(std::size_t bytes, TimePoint now);
    /** @return when take() can return a balancer next; TimePoint::max() if the queue is empty */
    TimePoint nextTimer() const
    {
        return pending_.empty() ? TimePoint::max() : nextSendAt_ - Burst;
    }

private:
    double bytesPerSecond_;
    std::deque<PendingContent> pending_;
    TimePoint nextSendAt_;
};

} // namespace poplarroad

#endif
