#include "gossipqueue.h"

#include <algorithm>
#include <bit>

namespace poplarroad
{

unsigned GossipQueue::transmissionLimit(std::size_t members)
{
    constexpr unsigned factor = 3;
    return factor * static_cast<unsigned>(std::max<std::size_t>(std::bit_width(members), 1));
}

void GossipQueue::add(const HostRecord &record)
{
    std::erase_if(queue_, [&](const Entry &entry) { return entry.record.address == record.address; });
    queue_.insert(queue_.begin(), { record, 0 });
}

void GossipQueue::appendUpdates(std::vector<MemberUpdate> &updates, std::size_t members)
{
    if (queue_.empty()) {
        return;
    }
    std::stable_sort(queue_.begin(), queue_.end(),
                     [](const Entry &a, const Entry &b) { return a.sendCount < b.sendCount; });
    for (Entry &entry : queue_) {
        if (updates.size() >= MaxUpdates) {
            break;
        }
        updates.push_back({ entry.record });
        ++entry.sendCount;
    }
    const unsigned limit = transmissionLimit(members);
    std::erase_if(queue_, [&](const Entry &entry) { return entry.sendCount >= limit; });
}

} // namespace poplarroad
