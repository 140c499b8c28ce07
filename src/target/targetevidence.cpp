#include "target/targetevidence.h"

#include <algorithm>

namespace poplarroad
{

void TargetEvidence::reset(TimePoint now)
{
    repeats_.clear();
    peers_.clear();
    lastProgress_ = now;
    become(TargetBelief::Answering, now);
}

void TargetEvidence::onProgress(TimePoint now)
{
    repeats_.clear();
    lastProgress_ = now;
    become(TargetBelief::Answering, now);
}

void TargetEvidence::onRepeat(std::uint64_t flow, TimePoint waitingSince, TimePoint now)
{
    forgetRepeats(now);
    // What a caller sent before the last progress may have been lost on its own.
    const TimePoint start = std::max(waitingSince, lastProgress_);
    const auto known =
        std::find_if(repeats_.begin(), repeats_.end(), [&](const Repeat &repeat) { return repeat.flow == flow; });
    if (known == repeats_.end()) {
        repeats_.push_back({ flow, start, now });
    } else {
        known->at = now;
    }
    judge(now);
}

void TargetEvidence::forgetRepeats(TimePoint now)
{
    std::erase_if(repeats_, [&](const Repeat &repeat) { return now - repeat.at > RepeatAge; });
}

std::uint32_t TargetEvidence::repeating(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(
        repeats_.begin(), repeats_.end(), [&](const Repeat &repeat) { return now - repeat.at <= RepeatAge; }));
}

std::uint32_t TargetEvidence::stuck(TimePoint now) const
{
    return static_cast<std::uint32_t>(std::count_if(repeats_.begin(), repeats_.end(), [&](const Repeat &repeat) {
        return now - repeat.at <= RepeatAge && repeat.at - repeat.waitingSince >= StuckAfter;
    }));
}

void TargetEvidence::onFlowEnded(std::uint64_t flow)
{
    std::erase_if(repeats_, [&](const Repeat &repeat) { return repeat.flow == flow; });
}

void TargetEvidence::judge(TimePoint now)
{
    forgetRepeats(now);
    if (repeats_.empty()) {
        return;
    }
    const auto oldest = std::min_element(repeats_.begin(), repeats_.end(), [](const Repeat &a, const Repeat &b) {
        return a.waitingSince < b.waitingSince;
    });
    const std::uint32_t stuckHere = stuck(now);
    const std::uint32_t elsewhere = stuckElsewhere(now);
    if (stuckHere > 0 && stuckHere + elsewhere >= FlowsToSilence) {
        // The first trial is due a period after the last packet that got no answer.
        lastTrial_ = now;
        become(TargetBelief::Silent, now);
    } else if (belief_ == TargetBelief::Answering && repeats_.size() + elsewhere >= FlowsToSuspect
               && now - oldest->waitingSince >= SuspectAfter) {
        become(TargetBelief::Suspected, now);
        lastTrial_ = now;
    }
}

void TargetEvidence::onPeerReport(std::uint64_t peer, std::uint32_t stuck, Milliseconds sinceProgress, TimePoint now)
{
    auto known = std::find_if(peers_.begin(), peers_.end(), [&](const PeerView &view) { return view.peer == peer; });
    if (known == peers_.end()) {
        known = peers_.insert(peers_.end(), PeerView{ peer, 0, now });
    }
    known->stuck = stuck;
    known->at = now;
    const TimePoint progress = now - sinceProgress;
    if (progress > lastProgress_) {
        lastProgress_ = progress;
        std::erase_if(repeats_, [&](const Repeat &repeat) { return repeat.waitingSince < progress; });
        if (progress > since_) {
            become(TargetBelief::Answering, now);
        }
    }
    judge(now);
}

std::uint32_t TargetEvidence::stuckElsewhere(TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const PeerView &view : peers_) {
        sum += now - view.at < PeerViewAge ? view.stuck : 0;
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
