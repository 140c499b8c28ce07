#include "service/directorywatcher.h"

#include <algorithm>

namespace poplarroad
{

std::optional<DirectoryWatcher::DueCall> DirectoryWatcher::next(TimePoint now)
{
    if (inProgress_ || step_ == Step::Idle || now < nextCallAt_) {
        return std::nullopt;
    }
    inProgress_ = true;
    ++number_;
    return DueCall{ callOf(step_), reason_, number_ };
}

StoreCall DirectoryWatcher::callOf(Step step) const
{
    switch (step) {
    case Step::StartRead:
        return ReadPart{ startFreshness_ };
    case Step::CatchUp:
        return WatchPart{ revision_, Milliseconds(0) };
    case Step::Watch:
        return WatchPart{ revision_, wait_ };
    default:
        return ReadPart{};
    }
}

bool DirectoryWatcher::onAnswer(std::uint64_t number, const DirectoryResult &answer, TimePoint now)
{
    if (number != number_ || !inProgress_) {
        return false;
    }
    inProgress_ = false;
    if (answer.error) {
        onFailure(*answer.error, now);
        return false;
    }
    const bool mayBeStale = step_ == Step::StartRead && startFreshness_ == ReadFreshness::MayBeStale;
    const bool wasRead = step_ == Step::StartRead || step_ == Step::Read;
    lastContact_ = now;
    answeringSince_ = answeringSince_.value_or(now);
    failing_ = false;
    backoff_ = InitialBackoff;
    if (answer.truncated) {
        readAgainAt_ = now + TruncatedRetryDelay;
    } else if (wasRead) {
        readAgainAt_.reset();
    }
    currentAt_ = mayBeStale || readAgainAt_ ? currentAt_ : now;
    completelyReadAt_ = wasRead && !mayBeStale && !answer.truncated ? now : completelyReadAt_;
    if (!following_) {
        step_ = Step::Idle;
    } else if (mayBeStale) {
        begin(Step::CatchUp, StoreCallReason::CatchUp, now);
    } else if (readAgainAt_ && now >= *readAgainAt_) {
        begin(Step::Read, StoreCallReason::Retry, now);
    } else {
        const bool changed = answer.services || !answer.targets.empty() || !answer.evacuations.empty();
        begin(Step::Watch, StoreCallReason::Watch, now + (changed ? BatchDelay : Milliseconds(0)));
    }
    if (answer.revision < revision_) {
        return false;
    }
    revision_ = answer.revision;
    return true;
}

void DirectoryWatcher::onFailure(StoreError error, TimePoint now)
{
    if (error != StoreError::NotFound) {
        failing_ = true;
        lastFailure_ = now;
        answeringSince_.reset();
    }
    const bool lacksHistory = step_ == Step::CatchUp && error == StoreError::NotFound;
    if (following_ || lacksHistory) {
        // The store may have lost its history, and a watch from an old revision may report nothing: read all again.
        revision_ = {};
        begin(Step::Read, StoreCallReason::Retry, now);
    } else if (step_ == Step::StartRead) {
        reason_ = StoreCallReason::Retry;
    } else {
        step_ = Step::Idle;
    }
    backOff(now);
}

void DirectoryWatcher::setFollowing(bool following, TimePoint now)
{
    if (following == following_) {
        return;
    }
    following_ = following;
    answeringSince_.reset();
    const bool starting = step_ == Step::StartRead;
    if (!following && !starting) {
        step_ = Step::Idle;
        inProgress_ = false;
    } else if (following && !starting) {
        inProgress_ = false;
        const bool recent = currentAt_.has_value() && now - *currentAt_ <= RecentRead && revision_.value != 0;
        const bool recentStale = !currentAt_ && lastContact_ && now - *lastContact_ <= RecentRead;
        if (!recent && !recentStale) {
            revision_ = {};
        }
        begin(revision_.value == 0 ? Step::Read : Step::CatchUp, StoreCallReason::Takeover, now);
    }
}

void DirectoryWatcher::catchUp(Revision known, TimePoint now)
{
    if (following_ || step_ != Step::Idle) {
        return;
    }
    revision_ = known;
    begin(known.value == 0 ? Step::Read : Step::CatchUp, StoreCallReason::CatchUp, now);
}

void DirectoryWatcher::verify(TimePoint now)
{
    if (following_ && step_ == Step::Watch) {
        inProgress_ = false;
        begin(Step::Read, StoreCallReason::Verify, now);
    }
}

void DirectoryWatcher::skipStart()
{
    if (step_ == Step::StartRead && !following_) {
        step_ = Step::Idle;
        inProgress_ = false;
    }
}

void DirectoryWatcher::restart(TimePoint now)
{
    inProgress_ = false;
    answeringSince_.reset();
    if (following_) {
        revision_ = {};
        begin(Step::Read, StoreCallReason::Retry, now);
    } else if (step_ != Step::Idle) {
        nextCallAt_ = now;
    }
}

void DirectoryWatcher::begin(Step step, StoreCallReason reason, TimePoint at)
{
    step_ = step;
    reason_ = reason;
    nextCallAt_ = at;
}

void DirectoryWatcher::backOff(TimePoint now)
{
    // Half of the delay is random, so that balancers whose calls failed together do not retry together.
    nextCallAt_ = now + std::chrono::duration_cast<Microseconds>(backoff_ * (0.5 + 0.5 * random_.nextDouble()));
    backoff_ = std::min(backoff_ * 2, MaxBackoff);
}

} // namespace poplarroad
