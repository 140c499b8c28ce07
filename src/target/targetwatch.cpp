#include "target/targetwatch.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/**
 * Cost in requests per slot of a shedding target. A target of two slots queues eight requests, four per slot, and refuses
 * more; until the others are that full they serve more of the requests than a target that refuses part of them.
 */
constexpr double SheddingPenalty = 4.0;

} // namespace

void TargetWatch::onAcknowledged(AnswerTrace &trace, const AnswerObservation &seen, bool complete, TimePoint now)
{
    if (enabled_) {
        trace.onAnswer(seen.waited);
        comparison_.onAcknowledged(trace, seen.route, targets_.at(seen.target), seen.acknowledged, complete, now);
    }
}

void TargetWatch::onReset(AnswerTrace &trace, const AnswerObservation &seen, TimePoint now)
{
    if (enabled_) {
        comparison_.onAbandoned(trace, seen.route, targets_.at(seen.target), seen.waited, now);
    }
}

bool TargetWatch::onProgress(TargetIndex target, TimePoint at)
{
    const Target &listed = targets_.at(target).listed.target;
    if (!enabled_ || listed.zone == zone_) {
        zoneProgress_.onProgress(at);
        return false;
    }
    return zoneReachability_.onProgress(listed.zone, listed.id, at);
}

void TargetWatch::onRetransmission(TargetIndex target, TimePoint waitingSince, TimePoint now)
{
    TargetEntry &entry = targets_.at(target);
    const Target &listed = entry.listed.target;
    if (!enabled_) {
        return;
    }
    if (listed.zone == zone_) {
        zoneProgress_.onRetransmission(listed.id, now);
        limitSilence(entry, now);
    } else {
        zoneReachability_.onRetransmission(listed.zone, listed.id, waitingSince, now);
    }
}

bool TargetWatch::onPeerReport(TargetIndex target, const TargetLoad &load, TimePoint now)
{
    if (!enabled_) {
        return false;
    }
    TargetEntry &entry = targets_.at(target);
    TargetComparison::onPeerReport(entry, load, now);
    // Balancers of an earlier version report the listing of a target as progress; only answers show that it can be reached.
    const bool zoneReturned = load.answers > 0 && onProgress(target, now - Milliseconds(load.sinceProgressMs));
    const Target &listed = entry.listed.target;
    if (listed.zone != zone_ && load.stuck > 0) {
        zoneReachability_.onRetransmission(
            listed.zone, listed.id, now - LivenessDetector::MaxRetransmissionAge - LivenessDetector::StuckAfter, now);
    }
    limitSilence(entry, now);
    return zoneReturned;
}

void TargetWatch::onSilent(TargetIndex target, TimePoint now)
{
    const Target &listed = targets_.at(target).listed.target;
    if (enabled_ && listed.zone != zone_) {
        zoneReachability_.onSilent(listed.zone, listed.id, answeringInUse(listed), now);
    }
}

void TargetWatch::onPaused(TimePoint now)
{
    comparison_.discard(targets_);
    zoneReachability_.discard(now);
    zoneProgress_ = {};
}

TimePoint TargetWatch::onTimer(TimePoint now)
{
    if (!enabled_) {
        return TimePoint::max();
    }
    if (now >= nextEvaluation_) {
        comparison_.evaluate(targets_, now);
        nextEvaluation_ = now + TargetComparison::EvaluationPeriod;
    }
    return nextEvaluation_;
}

bool TargetWatch::tryStartTrial(TargetIndex target, TimePoint now)
{
    TargetEntry &entry = targets_.at(target);
    return entry.detector.liveness() != TargetLiveness::Answering ? entry.detector.tryStartTrial(now)
                                                                  : entry.evidence.tryStartTrial(now);
}

double TargetWatch::expectedWork(const TargetEntry &target, double requests)
{
    // At an idle slow target the next request takes longer too, so it counts as well.
    const double ratio = target.evidence.ratio;
    return ratio > 1.0 ? ratio * (requests + 1.0) - 1.0 : requests;
}

double TargetWatch::penaltyOf(const TargetEntry &target)
{
    return target.evidence.standing == TargetStanding::Shedding ? SheddingPenalty : 0.0;
}

void TargetWatch::limitSilence(TargetEntry &target, TimePoint now)
{
    if (target.listed.target.zone == zone_) {
        target.detector.setProgressOfDelayedZone(zoneProgress_.progressOfDelayedZone(target.listed.target.id, now));
    }
}

std::uint32_t TargetWatch::answeringInUse(const Target &target) const
{
    const auto &all = targets_.byId();
    return static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [&](const auto &other) {
        const TargetEntry &entry = targets_.at(other.second);
        return entry.listed.target.zone == target.zone && entry.flows > 0
            && entry.detector.liveness() != TargetLiveness::Silent;
    }));
}

} // namespace poplarroad
