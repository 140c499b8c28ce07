#include "target/targetownership.h"

#include <algorithm>

namespace poplarroad
{

void TargetOwnership::setView(const FleetView &view, TimePoint now)
{
    recordLeavingMembers(view);
    recordLosses(view, now);
    Membership next = membershipOf(view, now);
    const std::uint64_t self = view.self.key();
    const bool isSame = !memberships_.empty() && self == self_ && memberships_.back().eligible == next.eligible
        && memberships_.back().others == next.others;
    if (isSame) {
        return;
    }
    self_ = self;
    eligibleSince_ = next.eligible ? std::optional(eligibleSince_.value_or(now)) : std::nullopt;
    memberships_.push_back(std::move(next));
    ++generation_;
    removeOld(now);
}

void TargetOwnership::recordLeavingMembers(const FleetView &view)
{
    absl::flat_hash_map<HostAddress, Incarnation> leaving;
    for (const HostRecord &host : view.hosts) {
        if (host.state == HostState::Leaving || leftGracefully(host)) {
            leaving[host.address] = host.incarnation;
        }
    }
    leavingMembers_ = std::move(leaving);
}

bool TargetOwnership::leftGracefully(const HostRecord &host) const
{
    const auto known = leavingMembers_.find(host.address);
    return host.state != HostState::Alive && known != leavingMembers_.end() && known->second == host.incarnation;
}

void TargetOwnership::recordLosses(const FleetView &view, TimePoint now)
{
    absl::flat_hash_set<HostAddress> missing;
    for (const HostRecord &host : view.hosts) {
        if (host.state == HostState::Alive || leavingMembers_.contains(host.address)) {
            continue;
        }
        missing.insert(host.address);
        if (!missing_.contains(host.address)) {
            losses_.push_back(now);
        }
    }
    missing_ = std::move(missing);
    while (!losses_.empty() && losses_.front() <= now - StableTime) {
        losses_.pop_front();
    }
    if (losses_.size() > MaxLosses) {
        disturbedAt_ = now;
    }
}

TargetOwnership::Membership TargetOwnership::membershipOf(const FleetView &view, TimePoint now)
{
    Membership membership{ now, false, {} };
    std::size_t known = 0;
    std::size_t alive = 0;
    for (const HostRecord &host : view.hosts) {
        if (leavingMembers_.contains(host.address)) {
            continue;
        }
        ++known;
        // A suspected member counts as missing here, so that an isolated balancer notices it 1.5 s earlier. It keeps
        // its targets: most suspicions are refuted, and a change of the owner would cost StableTime.
        alive += host.state == HostState::Alive ? 1 : 0;
        if (host.address != view.self && FleetView::acceptsNewWork(host)) {
            membership.others.push_back(host.address.key());
        }
    }
    std::sort(membership.others.begin(), membership.others.end());
    membership.eligible = view.joined && !view.leaving && 2 * alive > known;
    return membership;
}

bool TargetOwnership::owns(TargetId target, OwnershipCache &cache, TimePoint now)
{
    const TimePoint stableSince = now - StableTime;
    if (!eligibleSince_ || *eligibleSince_ > stableSince || (disturbedAt_ && *disturbedAt_ > stableSince)) {
        return false;
    }
    if (cache.generation != generation_) {
        removeOld(now);
        cache = { generation_, firstSince(target) };
    }
    return cache.firstSince && *cache.firstSince <= stableSince;
}

std::optional<TimePoint> TargetOwnership::firstSince(TargetId target) const
{
    std::optional<TimePoint> since;
    for (auto membership = memberships_.rbegin(); membership != memberships_.rend(); ++membership) {
        if (!isFirst(target, *membership)) {
            break;
        }
        since = membership->since;
    }
    return since;
}

bool TargetOwnership::isFirst(TargetId target, const Membership &membership) const
{
    const auto precedence = [target](std::uint64_t member) {
        return std::pair(rendezvousWeight(target.value, member), member);
    };
    const auto own = precedence(self_);
    return std::none_of(membership.others.begin(), membership.others.end(),
                        [&](std::uint64_t other) { return precedence(other) > own; });
}

void TargetOwnership::removeOld(TimePoint now)
{
    // The oldest one that is kept was in force at the begin of the period.
    while (memberships_.size() > 1 && memberships_[1].since <= now - StableTime) {
        memberships_.pop_front();
    }
}

} // namespace poplarroad
