#include "service/contentqueue.h"

#include <algorithm>

namespace poplarroad
{

void ContentQueue::add(const PendingContent &content)
{
    const auto known = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const PendingContent &other) { return other.host == content.host; });
    if (known == pending_.end()) {
        pending_.push_back(content);
        return;
    }
    known->serviceVersion = std::min(known->serviceVersion, content.serviceVersion);
    known->targets = std::min(known->targets, content.targets);
}

std::optional<PendingContent> ContentQueue::take(TimePoint now)
{
    if (pending_.empty() || now < next_) {
        return std::nullopt;
    }
    const PendingContent content = pending_.front();
    pending_.pop_front();
    return content;
}

void ContentQueue::onSent(std::size_t bytes, TimePoint now)
{
    const std::chrono::duration<double> taken(static_cast<double>(bytes) / bytesPerSecond_);
    next_ = std::max(next_, now) + std::chrono::duration_cast<TimePoint::duration>(taken);
}

} // namespace poplarroad
