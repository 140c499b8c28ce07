#include "service/contentqueue.h"

#include <algorithm>

namespace poplarroad
{

void ContentQueue::add(const PendingContent &content)
{
    const auto queued = std::find_if(pending_.begin(), pending_.end(),
                                     [&](const PendingContent &other) { return other.host == content.host; });
    if (queued == pending_.end()) {
        pending_.push_back(content);
        return;
    }
    queued->serviceVersion = std::min(queued->serviceVersion, content.serviceVersion);
    queued->targets = std::min(queued->targets, content.targets);
    queued->servicesOnly = queued->servicesOnly && content.servicesOnly;
}

std::optional<PendingContent> ContentQueue::take(TimePoint now)
{
    if (pending_.empty() || now < nextSendAt_ - Burst) {
        return std::nullopt;
    }
    const PendingContent content = pending_.front();
    pending_.pop_front();
    return content;
}

void ContentQueue::onSent(std::size_t bytes, TimePoint now)
{
    const std::chrono::duration<double> sendTime(static_cast<double>(bytes) / bytesPerSecond_);
    nextSendAt_ = std::max(nextSendAt_, now) + std::chrono::duration_cast<TimePoint::duration>(sendTime);
}

} // namespace poplarroad
