#include "target/targetevidence.h"

#include <algorithm>

namespace poplarroad
{

void TargetEvidence::reset(TimePoint now)
{
    flows_ = 0;
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
    const auto waited = now - waitingSince_;
    if (flows_ >= FlowsToSilence && waited >= SilentAfter) {
        become(TargetBelief::Silent, now);
    } else if (belief_ == TargetBelief::Answering && flows_ >= FlowsToSuspect && waited >= SuspectAfter) {
        become(TargetBelief::Suspected, now);
        lastTrial_ = now;
    }
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
