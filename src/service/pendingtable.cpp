#include "pendingtable.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::size_t MaxEntries = 262144;
/** Memory for messages stored for a retry; requests beyond it are routed, but not retried. */
constexpr std::size_t MaxRetryBytes = 32U << 20U;

std::size_t bytesOf(const PendingRequest &pending)
{
    if (!pending.message) {
        return 0;
    }
    const auto *request = std::get_if<RequestMessage>(pending.message.get());
    return sizeof(CallerMessage) + (request ? request->payload.size() : 0);
}

} // namespace

PendingRequest *PendingTable::find(const PendingKey &key)
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

bool PendingTable::hasRoom() const
{
    return entries_.size() < MaxEntries;
}

PendingRequest &PendingTable::put(const PendingKey &key, PendingRequest pending)
{
    erase(key);
    if (retryBytes_ + bytesOf(pending) > MaxRetryBytes) {
        pending.message.reset();
    }
    retryBytes_ += bytesOf(pending);
    pending.timerAt = pending.due;
    PendingRequest &entry = entries_[key] = std::move(pending);
    timers_.push({ entry.due, key });
    return entry;
}

void PendingTable::erase(const PendingKey &key)
{
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        retryBytes_ -= bytesOf(found->second);
        entries_.erase(found);
    }
}

void PendingTable::schedule(const PendingKey &key, PendingRequest &pending, TimePoint due)
{
    // A later time needs no new timer: when the current one fires, the entry is not due and is scheduled again.
    if (due < pending.timerAt) {
        timers_.push({ due, key });
        pending.timerAt = due;
    }
    pending.due = due;
}

std::optional<PendingKey> PendingTable::popDue(TimePoint now)
{
    while (!timers_.empty() && timers_.top().at <= now) {
        const Timer timer = timers_.top();
        timers_.pop();
        PendingRequest *pending = find(timer.key);
        if (!pending || timer.at != pending->timerAt) {
            continue;
        }
        pending->timerAt = TimePoint::max();
        if (pending->due <= now) {
            return timer.key;
        }
        schedule(timer.key, *pending, pending->due);
    }
    return std::nullopt;
}

TimePoint PendingTable::nextDue() const
{
    return timers_.empty() ? TimePoint::max() : timers_.top().at;
}

std::vector<PendingKey> PendingTable::feedsWithPosition() const
{
    std::vector<PendingKey> keys;
    for (const auto &[key, pending] : entries_) {
        if (pending.feed && pending.position > 0) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::vector<PendingKey> PendingTable::requestsSentTo(const HostAddress &host) const
{
    std::vector<PendingKey> keys;
    for (const auto &[key, pending] : entries_) {
        if (!pending.retryScheduled && pending.host == host) {
            keys.push_back(key);
        }
    }
    // Sorted, since a run must be reproducible from its seed and the order of a hash table varies between runs.
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace poplarroad
