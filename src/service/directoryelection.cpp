#include "service/directoryelection.h"

#include <algorithm>

namespace poplarroad
{

DirectoryElection::DirectoryElection(const HostAddress &self, std::uint64_t rank)
    : self_(self)
    , rank_(rank)
{
}

DirectoryElection::Reaction DirectoryElection::onBeacon(const DirectoryBeacon &beacon, const DirectoryState &state,
                                                        TimePoint now)
{
    Reaction reaction;
    if (beacon.follower == self_) {
        return reaction;
    }
    const HeardBeacon heard{ beacon.rank, beacon.follower, now, now - Milliseconds(beacon.contactAgeMs) };
    const bool better = std::pair(heard.rank, heard.follower) > std::pair(rank_, self_);
    if (better && isFresh(heard, now)) {
        const bool replaces = !bestFollower_ || !isFresh(*bestFollower_, now)
            || bestFollower_->follower == heard.follower
            || std::pair(heard.rank, heard.follower) > std::pair(bestFollower_->rank, bestFollower_->follower);
        if (replaces) {
            bestFollower_ = heard;
        }
    } else if (bestFollower_ && bestFollower_->follower == heard.follower) {
        bestFollower_.reset();
    }
    if (beacon.serviceVersion <= state.serviceVersion && beacon.targets <= state.targets) {
        behindSince_.reset();
        return reaction;
    }
    behindSince_ = behindSince_.value_or(now);
    if (now - *behindSince_ >= StoreFallbackDelay) {
        reaction.readStore = true;
        behindSince_ = now;
    }
    if (now >= nextRequest_) {
        nextRequest_ = now + RequestTimeout;
        reaction.request = DirectoryRequest{ state.serviceVersion, state.targets };
    }
    return reaction;
}

bool DirectoryElection::follows(TimePoint now) const
{
    return !bestFollower_ || !isFresh(*bestFollower_, now);
}

std::optional<DirectoryBeacon> DirectoryElection::beacon(const DirectoryState &state, TimePoint now)
{
    if (now < nextBeacon_ || !follows(now)) {
        return std::nullopt;
    }
    nextBeacon_ = now + BeaconPeriod;
    constexpr Milliseconds longestAge{ 3'600'000 }; // also sent if the store never answered
    const auto age =
        state.lastContact ? std::chrono::duration_cast<Milliseconds>(now - *state.lastContact) : longestAge;
    return DirectoryBeacon{ self_,
                            rank_,
                            state.serviceVersion,
                            state.targets,
                            static_cast<std::uint32_t>(std::min(age, longestAge).count()),
                            false };
}

TimePoint DirectoryElection::nextTimer(TimePoint now) const
{
    if (follows(now)) {
        return std::max(nextBeacon_, now + BeaconPeriod / 3);
    }
    return std::min(bestFollower_->receivedAt + BeaconTimeout, bestFollower_->lastContact + MaxContactAge);
}

} // namespace poplarroad
