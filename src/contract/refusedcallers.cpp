#include "refusedcallers.h"

namespace poplarroad
{

std::uint64_t RefusedCallers::keyOf(std::uint32_t callerIp, const HostAddress &route)
{
    return rendezvousWeight(callerIp, route.key());
}

RefusedCallers::Attempt RefusedCallers::attemptOf(std::uint32_t callerIp, const HostAddress &route,
                                                  TimePoint begin) const
{
    if (entries_.empty()) {
        return {};
    }
    const std::uint64_t key = keyOf(callerIp, route);
    const Entry &entry = entries_[key % Size];
    // An attempt that began before the refusal belongs to another caller behind the same address.
    if (entry.refusals == 0 || entry.refusals >= MaxAttempts || entry.key != key || begin < entry.last
        || begin - entry.last > RetryWindow) {
        return {};
    }
    return { entry.refusals + 1, std::chrono::duration_cast<Milliseconds>(begin - entry.first) };
}

void RefusedCallers::onRefused(std::uint32_t callerIp, const HostAddress &route, const Attempt &attempt, TimePoint now)
{
    entries_.resize(Size);
    const std::uint64_t key = keyOf(callerIp, route);
    Entry &entry = entries_[key % Size];
    if (attempt.number == 1) {
        entry = { key, now, now, 0 };
    }
    entry.last = now;
    ++entry.refusals;
}

void RefusedCallers::onAdmitted(std::uint32_t callerIp, const HostAddress &route)
{
    if (entries_.empty()) {
        return;
    }
    const std::uint64_t key = keyOf(callerIp, route);
    Entry &entry = entries_[key % Size];
    if (entry.key == key) {
        entry = {};
    }
}

} // namespace poplarroad
