#include "service/directoryfeed.h"

#include <algorithm>

namespace poplarroad
{

std::optional<DirectoryFeed::Due> DirectoryFeed::next(TimePoint now)
{
    if (inProgress_ || now < due_) {
        return std::nullopt;
    }
    inProgress_ = true;
    ++number_;
    if (revision_.value == 0) {
        return Due{ ReadPart{}, number_ };
    }
    return Due{ WatchPart{ revision_, wait_ }, number_ };
}

bool DirectoryFeed::onAnswer(std::uint64_t number, const DirectoryResult &answer, TimePoint now)
{
    if (number != number_ || !inProgress_) {
        return false;
    }
    inProgress_ = false;
    if (answer.error) {
        // The history may be gone, and a watch from an old revision can hear nothing: a whole read is certain.
        revision_ = {};
        backOff(now);
        return false;
    }
    lastContact_ = now;
    backoff_ = FirstBackoff;
    const bool news = answer.services || !answer.targets.empty();
    due_ = following_ ? now + (news ? NewsPause : Milliseconds(0)) : TimePoint::max();
    if (answer.revision < revision_) {
        return false;
    }
    revision_ = answer.revision;
    return true;
}

void DirectoryFeed::setFollowing(bool following, TimePoint now)
{
    if (following == following_) {
        return;
    }
    following_ = following;
    if (following) {
        restart(now);
    } else if (revision_.value != 0) {
        due_ = TimePoint::max();
        inProgress_ = false;
    }
}

void DirectoryFeed::restart(TimePoint now)
{
    inProgress_ = false;
    revision_ = {};
    due_ = now;
}

void DirectoryFeed::backOff(TimePoint now)
{
    // Half of the pause is random, so that balancers that failed together come back apart.
    due_ = now + std::chrono::duration_cast<Microseconds>(backoff_ * (0.5 + 0.5 * random_.nextDouble()));
    backoff_ = std::min(backoff_ * 2, LongestBackoff);
}

} // namespace poplarroad
