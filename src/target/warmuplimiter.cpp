#include "target/warmuplimiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace poplarroad
{

namespace
{

/** Time after its last use until the state of a target is removed; by then its window is empty. */
constexpr Milliseconds RetentionTime = 2 * PlacementWindow::Length;

} // namespace

void WarmupLimiter::onZoneReturned(ZoneId zone, TimePoint now)
{
    zonesColdUntil_[zone] = now + ReturnedZoneTime;
}

bool WarmupLimiter::isCold(const TargetEntry &target, TimePoint now) const
{
    if (now < target.warmupEnd) {
        return true;
    }
    const auto returned = zonesColdUntil_.find(target.listed.target.zone);
    return returned != zonesColdUntil_.end() && now < returned->second;
}

const WarmupLimit *WarmupLimiter::limitOf(const TargetEntry &target, TimePoint now) const
{
    if (!bounds_ || !services_ || !isCold(target, now)) {
        return nullptr;
    }
    const auto limit = services_->warmups.find(target.listed.target.service);
    return limit == services_->warmups.end() ? nullptr : &limit->second;
}

std::uint32_t WarmupLimiter::ownShare(const WarmupLimit &limit) const
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    const double bound = limit.perSecond * bounds_->overage + bounds_->slack;
    return static_cast<std::uint32_t>(std::clamp(std::floor(bound / 2), 0.0, largest));
}

WarmupLimiter::ColdTarget &WarmupLimiter::stateOf(const TargetEntry &target, TimePoint now)
{
    ColdTarget &state = targets_[target.listed.target.id];
    state.usedAt = now;
    return state;
}

bool WarmupLimiter::mayOpenFlow(const TargetEntry &target, TimePoint now)
{
    const WarmupLimit *const limit = limitOf(target, now);
    if (limit == nullptr) {
        return true;
    }
    if (target.listed.target.zone != zone_) {
        return false;
    }
    ColdTarget &state = stateOf(target, now);
    return ownership_.owns(target.listed.target.id, state.ownership, now)
        && state.placements.count(now) < ownShare(*limit);
}

bool WarmupLimiter::ownsColdTarget(const TargetEntry &target, TimePoint now)
{
    return target.listed.target.zone == zone_ && limitOf(target, now) != nullptr
        && ownership_.owns(target.listed.target.id, stateOf(target, now).ownership, now);
}

void WarmupLimiter::onFlowPlaced(const TargetEntry &target, TimePoint now)
{
    if (limitOf(target, now) != nullptr) {
        stateOf(target, now).placements.add(now);
        ++counts_.placements;
    }
}

void WarmupLimiter::expire(TimePoint now)
{
    absl::erase_if(targets_, [&](const auto &entry) { return now - entry.second.usedAt > RetentionTime; });
    absl::erase_if(zonesColdUntil_, [&](const auto &entry) { return now >= entry.second; });
}

} // namespace poplarroad
