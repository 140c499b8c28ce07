#include "target/livenessdetector.h"

#include <algorithm>

namespace poplarroad
{

void LivenessDetector::reset(TimePoint now)
{
    retransmissions_.clear();
    peers_.clear();
    lastProgress_ = now;
    progressSeenAt_.reset();
    setLiveness(TargetLiveness::Answering, now);
}

void LivenessDetector::onPaused(TimePoint now)
{
    retransmissions_.clear();
    peers_.clear();
    silenceSeenAt_.reset();
    pausedUntil_ = now;
}

void LivenessDetector::discardSilence(TimePoint now)
{
    // The last progress stays as it is: reported as new, it would make other balancers do the same.
    onPaused(now);
    setLiveness(TargetLiveness::Answering, now);
}

void LivenessDetector::onProgress(TimePoint now)
{
    retransmissions_.clear();
    lastProgress_ = now;
    progressSeenAt_ = now;
    setLiveness(TargetLiveness::Answering, now);
}

void LivenessDetector::onRetransmission(std::uint64_t flow, TimePoint waitingSince, TimePoint now)
{
    dropOldRetransmissions(now);
    // A packet sent before the last progress may have been lost on its way, so its wait counts from the progress on.
    const TimePoint start = std::max({ waitingSince, lastProgress_, pausedUntil_ });
    const auto found = std::find_if(retransmissions_.begin(), retransmissions_.end(),
                                    [&](const Retransmission &retransmission) { return retransmission.flow == flow; });
    if (found == retransmissions_.end()) {
        retransmissions_.push_back({ flow, start, now });
    } else {
        found->at = now;
    }
    updateLiveness(now);
}

void LivenessDetector::dropOldRetransmissions(TimePoint now)
{
    std::erase_if(retransmissions_,
                  [&](const Retransmission &retransmission) { return now - retransmission.at > MaxRetransmissionAge; });
}

std::uint32_t LivenessDetector::retransmittingFlows(TimePoint now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(retransmissions_.begin(), retransmissions_.end(), [&](const Retransmission &retransmission) {
            return now - retransmission.at <= MaxRetransmissionAge;
        }));
}

std::uint32_t LivenessDetector::stuckFlows(TimePoint now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(retransmissions_.begin(), retransmissions_.end(), [&](const Retransmission &retransmission) {
            return now - retransmission.at <= MaxRetransmissionAge
                && retransmission.at - retransmission.waitingSince >= StuckAfter;
        }));
}

void LivenessDetector::onFlowEnded(std::uint64_t flow)
{
    std::erase_if(retransmissions_, [&](const Retransmission &retransmission) { return retransmission.flow == flow; });
}

void LivenessDetector::updateLiveness(TimePoint now)
{
    dropOldRetransmissions(now);
    if (retransmissions_.empty()) {
        return;
    }
    const auto oldest = std::min_element(
        retransmissions_.begin(), retransmissions_.end(),
        [](const Retransmission &a, const Retransmission &b) { return a.waitingSince < b.waitingSince; });
    const std::uint32_t stuckHere = stuckFlows(now);
    const std::uint32_t stuckAtPeers = stuckFlowsAtPeers(now);
    const bool enoughFlows = isSilentOnRecentEvidence(now) || stuckHere + stuckAtPeers >= FlowsToDeclareSilent;
    if (stuckHere > 0 && enoughFlows && !sharesDelayOfZone(now)) {
        // Delays the first trial until TrialPeriod after the last retransmission.
        lastTrial_ = now;
        silenceSeenAt_ = now;
        setLiveness(TargetLiveness::Silent, now);
    } else if (liveness_ == TargetLiveness::Answering && retransmissions_.size() + stuckAtPeers >= FlowsToSuspect
               && now - oldest->waitingSince >= SuspectAfter) {
        setLiveness(TargetLiveness::Suspected, now);
        lastTrial_ = now;
    }
}

bool LivenessDetector::sharesDelayOfZone(TimePoint now) const
{
    if (!delayedZoneProgress_) {
        return false;
    }
    return std::none_of(retransmissions_.begin(), retransmissions_.end(), [&](const Retransmission &retransmission) {
        return now - retransmission.at <= MaxRetransmissionAge
            && retransmission.at - retransmission.waitingSince >= StuckAfter
            && *delayedZoneProgress_ > retransmission.waitingSince + SuspectAfter;
    });
}

void LivenessDetector::onPeerReport(std::uint64_t peer, std::uint32_t stuckFlows, Milliseconds sinceProgress,
                                    TimePoint now)
{
    auto found =
        std::find_if(peers_.begin(), peers_.end(), [&](const PeerReport &report) { return report.peer == peer; });
    if (found == peers_.end()) {
        found = peers_.insert(peers_.end(), PeerReport{ peer, 0, now });
    }
    found->stuckFlows = stuckFlows;
    found->receivedAt = now;
    const TimePoint progress = now - sinceProgress;
    if (progress > lastProgress_) {
        lastProgress_ = progress;
        progressSeenAt_ = progress;
        std::erase_if(retransmissions_,
                      [&](const Retransmission &retransmission) { return retransmission.waitingSince < progress; });
        if (progress > livenessSince_) {
            setLiveness(TargetLiveness::Answering, now);
        }
    }
    updateLiveness(now);
}

std::uint32_t LivenessDetector::stuckFlowsAtPeers(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const PeerReport &report : peers_) {
        sum += now - report.receivedAt < MaxPeerReportAge ? report.stuckFlows : 0;
    }
    return sum;
}

std::uint32_t LivenessDetector::sinceProgressMs(TimePoint now) const
{
    constexpr std::int64_t maxMs = 3'600'000;
    if (!progressSeenAt_) {
        return maxMs;
    }
    const auto since = std::chrono::duration_cast<Milliseconds>(now - *progressSeenAt_).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(since, 0, maxMs));
}

bool LivenessDetector::tryStartTrial(TimePoint now)
{
    if (now - lastTrial_ < TrialPeriod) {
        return false;
    }
    lastTrial_ = now;
    return true;
}

void LivenessDetector::setLiveness(TargetLiveness liveness, TimePoint now)
{
    if (liveness_ != liveness) {
        liveness_ = liveness;
        livenessSince_ = now;
    }
}

} // namespace poplarroad
