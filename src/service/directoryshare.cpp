#include "service/directoryshare.h"

#include <algorithm>

namespace poplarroad
{

DirectoryShare::DirectoryShare(const HostAddress &self, std::uint64_t rank)
    : self_(self)
    , rank_(rank)
{
}

DirectoryShare::Reaction DirectoryShare::onBeacon(const DirectoryBeacon &beacon, const DirectoryState &state,
                                                  TimePoint now)
{
    Reaction reaction;
    if (beacon.follower == self_) {
        return reaction;
    }
    const Heard heard{ beacon.rank, beacon.follower, now, now - Milliseconds(beacon.contactAgeMs) };
    const bool better = std::pair(heard.rank, heard.follower) > std::pair(rank_, self_);
    if (better && isFresh(heard, now)) {
        const bool replaces = !best_ || !isFresh(*best_, now) || best_->follower == heard.follower
            || std::pair(heard.rank, heard.follower) > std::pair(best_->rank, best_->follower);
        if (replaces) {
            best_ = heard;
        }
    } else if (best_ && best_->follower == heard.follower) {
        best_.reset();
    }
    if (beacon.serviceVersion <= state.serviceVersion && beacon.targets <= state.targets) {
        behindSince_.reset();
        return reaction;
    }
    behindSince_ = behindSince_.value_or(now);
    if (now - *behindSince_ >= PeerPatience) {
        reaction.readStore = true;
        behindSince_ = now;
    }
    if (now >= nextRequest_) {
        nextRequest_ = now + RequestTimeout;
        reaction.request = DirectoryRequest{ state.serviceVersion, state.targets };
    }
    return reaction;
}

bool DirectoryShare::follows(TimePoint now) const
{
    return !best_ || !isFresh(*best_, now);
}

std::optional<DirectoryBeacon> DirectoryShare::beacon(const DirectoryState &state, TimePoint now)
{
    if (now < nextBeacon_ || !follows(now)) {
        return std::nullopt;
    }
    nextBeacon_ = now + BeaconPeriod;
    constexpr Milliseconds longestAge{ 3'600'000 };
    const auto age = state.contact ? std::chrono::duration_cast<Milliseconds>(now - *state.contact) : longestAge;
    return DirectoryBeacon{ self_,
                            rank_,
                            state.serviceVersion,
                            state.targets,
                            static_cast<std::uint32_t>(std::min(age, longestAge).count()),
                            false };
}

TimePoint DirectoryShare::nextTimer(TimePoint now) const
{
    if (follows(now)) {
        return std::max(nextBeacon_, now + BeaconPeriod / 3);
    }
    return std::min(best_->at + BeaconTimeout, best_->contact + FreshContact);
}

} // namespace poplarroad
