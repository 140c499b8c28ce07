#include "service/directorywatcher.h"

#include <algorithm>

namespace poplarroad
{

std::optional<DirectoryWatcher::DueCall> DirectoryWatcher::next(TimePoint now)
{
    if (inProgress_ || now < nextCallAt_) {
        return std::nullopt;
    }
    inProgress_ = true;
    ++number_;
    if (revision_.value == 0) {
        return DueCall{ ReadPart{}, number_ };
    }
    return DueCall{ WatchPart{ revision_, wait_ }, number_ };
}

bool DirectoryWatcher::onAnswer(std::uint64_t number, const DirectoryResult &answer, TimePoint now)
{
    if (number != number_ || !inProgress_) {
        return false;
    }
    inProgress_ = false;
    if (answer.error) {
        // The store may have lost its history, and a watch from an old revision may report nothing: read all again.
        revision_ = {};
        backOff(now);
        return false;
    }
    lastContact_ = now;
    backoff_ = InitialBackoff;
    const bool changed = answer.services || !answer.targets.empty();
    nextCallAt_ = following_ ? now + (changed ? BatchDelay : Milliseconds(0)) : TimePoint::max();
    if (answer.revision < revision_) {
        return false;
    }
    revision_ = answer.revision;
    return true;
}

void DirectoryWatcher::setFollowing(bool following, TimePoint now)
{
    if (following == following_) {
        return;
    }
    following_ = following;
    if (following) {
        restart(now);
    } else if (revision_.value != 0) {
        nextCallAt_ = TimePoint::max();
        inProgress_ = false;
    }
}

void DirectoryWatcher::restart(TimePoint now)
{
    inProgress_ = false;
    revision_ = {};
    nextCallAt_ = now;
}

void DirectoryWatcher::backOff(TimePoint now)
{
    // Half of the delay is random, so that balancers whose calls failed together do not retry together.
    nextCallAt_ = now + std::chrono::duration_cast<Microseconds>(backoff_ * (0.5 + 0.5 * random_.nextDouble()));
    backoff_ = std::min(backoff_ * 2, MaxBackoff);
}

} // namespace poplarroad
