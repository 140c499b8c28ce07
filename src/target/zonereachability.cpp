#include "target/zonereachability.h"

#include <algorithm>

namespace poplarroad
{

void ZoneReachability::onSilent(ZoneId zone, TargetId target, std::uint32_t answeringInUse, TimePoint now)
{
    Zone &state = zones_[zone];
    std::erase_if(state.silent,
                  [&](const auto &silent) { return silent.first == target || now - silent.second > SilenceWindow; });
    state.silent.emplace_back(target, now);
    const auto silentTargets = static_cast<std::uint32_t>(state.silent.size());
    if (!state.unreachableSince && silentTargets >= MinSilentTargets && silentTargets > answeringInUse) {
        state.unreachableSince = now;
        state.lastTrial = now;
        changes_.push_back({ zone, Reachability::Unreachable, target, silentTargets, silentTargets + answeringInUse });
    }
}

void ZoneReachability::onRetransmission(ZoneId zone, TargetId target, TimePoint waitingSince, TimePoint now)
{
    // Packets that waited for this balancer during a pause look like retransmissions.
    waitingSince = std::max(waitingSince, discardedAt_);
    Zone &state = zones_[zone];
    std::erase_if(state.unanswered, [&](const Unanswered &unanswered) {
        return now - unanswered.at > SilenceWindow || unanswered.waitingSince <= state.lastProgress;
    });
    if (state.unreachableSince || waitingSince <= state.lastProgress) {
        return;
    }
    const auto known = std::find_if(state.unanswered.begin(), state.unanswered.end(),
                                    [&](const Unanswered &unanswered) { return unanswered.target == target; });
    if (known == state.unanswered.end()) {
        state.unanswered.push_back({ target, waitingSince, now });
    } else {
        known->at = now;
    }
    const auto oldest =
        std::min_element(state.unanswered.begin(), state.unanswered.end(),
                         [](const Unanswered &a, const Unanswered &b) { return a.waitingSince < b.waitingSince; });
    if (state.unanswered.size() >= MinUnansweredTargets && now - oldest->waitingSince >= MinUnansweredTime) {
        const auto unansweredTargets = static_cast<std::uint32_t>(state.unanswered.size());
        state.unreachableSince = now;
        state.lastTrial = now;
        state.unanswered.clear();
        changes_.push_back({ zone, Reachability::Unreachable, target, 0, 0, unansweredTargets });
    }
}

bool ZoneReachability::onProgress(ZoneId zone, TargetId target, TimePoint at)
{
    Zone &state = zones_[zone];
    state.lastProgress = std::max(state.lastProgress, at);
    std::erase_if(state.silent, [&](const auto &silent) { return silent.first == target && silent.second < at; });
    if (!state.unreachableSince || at <= *state.unreachableSince) {
        return false;
    }
    state.unreachableSince.reset();
    state.silent.clear();
    changes_.push_back({ zone, Reachability::Reachable, target, 0, 0 });
    return true;
}

bool ZoneReachability::isUnreachable(ZoneId zone) const
{
    const auto found = zones_.find(zone);
    return found != zones_.end() && found->second.unreachableSince;
}

bool ZoneReachability::tryStartTrial(ZoneId zone, TimePoint now)
{
    const auto found = zones_.find(zone);
    if (found == zones_.end() || !found->second.unreachableSince || now - found->second.lastTrial < TrialPeriod) {
        return false;
    }
    found->second.lastTrial = now;
    return true;
}

void ZoneReachability::discard(TimePoint now)
{
    discardedAt_ = now;
    for (const auto &[zone, state] : zones_) {
        if (state.unreachableSince) {
            changes_.push_back({ zone, Reachability::Reachable, TargetId{}, 0, 0 });
        }
    }
    zones_.clear();
}

std::size_t ZoneReachability::unreachableZones() const
{
    return static_cast<std::size_t>(std::count_if(
        zones_.begin(), zones_.end(), [](const auto &zone) { return zone.second.unreachableSince.has_value(); }));
}

void ZoneProgress::onProgress(TimePoint at)
{
    lastProgress_ = std::max(lastProgress_, at);
}

void ZoneProgress::onRetransmission(TargetId target, TimePoint now)
{
    if (latest_ && latest_->target != target) {
        latestOfOther_ = latest_;
    }
    latest_ = Retransmission{ target, now };
}

std::optional<TimePoint> ZoneProgress::progressOfDelayedZone(TargetId target, TimePoint now) const
{
    const auto &other = latest_ && latest_->target != target ? latest_ : latestOfOther_;
    if (!other || other->target == target || now - other->at > MaxRetransmissionAge) {
        return std::nullopt;
    }
    return lastProgress_;
}

} // namespace poplarroad
