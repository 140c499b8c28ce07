#include "poolentry.h"

#include <algorithm>
#include <cmath>

namespace poplarroad
{

double RecentRequests::at(TimePoint now) const
{
    constexpr double timeConstantSeconds = 5.0; // balances the requests over about 10 s
    const std::chrono::duration<double> age = now - at_;
    return count_ * std::exp(-std::max(age.count(), 0.0) / timeConstantSeconds);
}

void RecentRequests::add(TimePoint now)
{
    set(at(now) + 1.0, now);
}

void RecentRequests::set(double count, TimePoint now)
{
    count_ = count;
    at_ = now;
}

PoolEntry::PoolEntry(const Target &declaredTarget, bool slowStart)
    : target(declaredTarget)
    , limit(declaredTarget.slots, slowStart)
{
}

bool PoolEntry::ready() const
{
    return declared && target.state == TargetState::Active && !reportedDraining && !health.ejected();
}

std::uint32_t PoolEntry::limitAt(TimePoint now) const
{
    return std::max(1U, static_cast<std::uint32_t>(limit.limit() * health.rampFactor(now)));
}

bool PoolEntry::hasRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now) const
{
    if (occupancy == Occupancy::Connection) {
        return connections < target.connections;
    }
    const std::uint32_t currentLimit = limitAt(now);
    return inProgress + (spare < currentLimit ? spare : 0) < currentLimit;
}

double PoolEntry::load(Occupancy occupancy, TimePoint now) const
{
    if (occupancy == Occupancy::Connection) {
        return static_cast<double>(connections) / std::max(target.connections, 1U);
    }
    // A limit above the declared slots must not attract more requests: load follows the declared capacity.
    const std::uint32_t effectiveLimit = std::min(limitAt(now), limit.slots());
    return static_cast<double>(inProgress + std::max<std::int64_t>(queued, 0)) / effectiveLimit;
}

double PoolEntry::recentLoad(TimePoint now) const
{
    return recent.at(now) / (limit.slots() * health.rampFactor(now));
}

void PoolEntry::addReason(std::string reason)
{
    constexpr std::size_t maxReasons = 8;
    if (reasons.size() == maxReasons) {
        reasons.pop_front();
    }
    reasons.push_back(std::move(reason));
}

} // namespace poplarroad
