#include "target/targetevidence.h"

#include <algorithm>

namespace poplarroad
{

void TargetEvidence::reset(TimePoint now)
{
    flows_ = 0;
    peers_.clear();
    lastProgress_ = now;
    become(TargetBelief::Answering, now);
}

void TargetEvidence::onProgress(TimePoint now)
{
    flows_ = 0;
    lastProgress_ = now;
    become(TargetBelief::Answering, now);
}

void TargetEvidence::onRepeat(bool firstOfFlow, TimePoint waitingSince, TimePoint now)
{
    // What a caller sent before the last progress may have been lost on its own.
    const TimePoint start = std::max(waitingSince, lastProgress_);
    waitingSince_ = flows_ == 0 ? start : std::min(waitingSince_, start);
    flows_ += firstOfFlow || flows_ == 0 ? 1 : 0;
    judge(now);
}

void TargetEvidence::judge(TimePoint now)
{
    if (flows_ == 0) {
        return;
    }
    const auto waited = now - waitingSince_;
    const std::uint32_t repeating = flows_ + repeatingElsewhere(now);
    if (repeating >= FlowsToSilence && waited >= SilentAfter) {
        become(TargetBelief::Silent, now);
    } else if (belief_ == TargetBelief::Answering && repeating >= FlowsToSuspect && waited >= SuspectAfter) {
        become(TargetBelief::Suspected, now);
        lastTrial_ = now;
    }
}

void TargetEvidence::onPeerReport(std::uint64_t peer, std::uint32_t repeating, Milliseconds sinceProgress,
                                  TimePoint now)
{
    auto known = std::find_if(peers_.begin(), peers_.end(), [&](const PeerView &view) { return view.peer == peer; });
    if (known == peers_.end()) {
        known = peers_.insert(peers_.end(), PeerView{ peer, 0, now });
    }
    known->repeating = repeating;
    known->at = now;
    const TimePoint progress = now - sinceProgress;
    if (progress > lastProgress_) {
        lastProgress_ = progress;
        if (flows_ > 0 && progress > waitingSince_) {
            flows_ = 0;
            become(TargetBelief::Answering, now);
        }
    }
    judge(now);
}

std::uint32_t TargetEvidence::repeatingElsewhere(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const PeerView &view : peers_) {
        sum += now - view.at < PeerViewAge ? view.repeating : 0;
    }
    return sum;
}

std::uint32_t TargetEvidence::sinceProgressMs(TimePoint now) const
{
    constexpr std::int64_t longest = 3'600'000;
    const auto since = std::chrono::duration_cast<Milliseconds>(now - lastProgress_).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(since, 0, longest));
}

bool TargetEvidence::takeTrial(TimePoint now)
{
    if (now - lastTrial_ < TrialPeriod) {
        return false;
    }
    lastTrial_ = now;
    return true;
}

void TargetEvidence::become(TargetBelief belief, TimePoint now)
{
    if (belief_ != belief) {
        belief_ = belief;
        since_ = now;
    }
}

} // namespace poplarroad
