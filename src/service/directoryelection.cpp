#include "service/directoryelection.h"

#include <algorithm>
#include <tuple>

namespace poplarroad
{

namespace
{

constexpr Milliseconds LongestContactAge{ 3'600'000 }; ///< also stands for no contact at all

/** @return the time since a contact as a beacon states it */
std::uint32_t contactAgeMs(const std::optional<TimePoint> &contact, TimePoint now)
{
    const auto age = contact ? std::chrono::duration_cast<Milliseconds>(now - *contact) : LongestContactAge;
    return static_cast<std::uint32_t>(std::clamp(age, Milliseconds(0), LongestContactAge).count());
}

} // namespace

DirectoryElection::DirectoryElection(const HostAddress &self, std::uint64_t rank, TimePoint startedAt)
    : self_(self)
    , rank_(rank)
    , vacantSince_(startedAt + StartupDelay)
{
}

bool DirectoryElection::isBetter(const DirectoryBeacon &beacon, StoreEra era, std::uint64_t rank,
                                 const HostAddress &host)
{
    return std::tuple(eraOf(beacon.targets), beacon.rank, beacon.follower) > std::tuple(era, rank, host);
}

void DirectoryElection::setMembers(const std::vector<HostRecord> &members)
{
    position_ = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const HostRecord &member) {
        return member.address != self_ && FleetView::acceptsNewWork(member)
            && std::pair(std::uint64_t{ member.rank }, member.address) > std::pair(rank_, self_);
    }));
}

void DirectoryElection::onBeacon(const DirectoryBeacon &beacon, TimePoint now)
{
    if (beacon.follower == self_) {
        return;
    }
    // A balancer of an older version sends no age of the targets; the age of the older part then stands for it.
    const std::uint32_t targetsAgeMs = std::max(beacon.contactAgeMs, beacon.targetsContactAgeMs);
    const HeardBeacon heard{ beacon, now, now - Milliseconds(beacon.contactAgeMs), now - Milliseconds(targetsAgeMs) };
    const bool sameFollower = bestFollower_ && bestFollower_->beacon.follower == beacon.follower;
    if (!isFresh(heard, now)) {
        if (sameFollower) {
            bestFollower_.reset();
        }
        return;
    }
    if (sameFollower || !hasFreshFollower(now)
        || isBetter(beacon, eraOf(bestFollower_->beacon.targets), bestFollower_->beacon.rank,
                    bestFollower_->beacon.follower)) {
        bestFollower_ = heard;
    }
}

std::optional<FollowerTargets> DirectoryElection::followerTargets(TimePoint now) const
{
    if (!hasFreshFollower(now)) {
        return std::nullopt;
    }
    return FollowerTargets{ bestFollower_->beacon.targets, bestFollower_->targetsContact,
                            bestFollower_->beacon.evacuations.revision, bestFollower_->lastContact };
}

bool DirectoryElection::update(std::optional<TimePoint> lastContact, bool mayFollow, TimePoint now, StoreEra era)
{
    const bool before = follows_;
    mayFollow_ = mayFollow;
    const bool replaced = hasFreshFollower(now);
    if (replaced) {
        vacantSince_.reset();
    } else if (!vacantSince_) {
        vacantSince_ = now;
    }
    if (follows_) {
        const bool hasContact = lastContact && now - *lastContact < MaxContactAge;
        follows_ = !(replaced && (!hasContact || isBetter(bestFollower_->beacon, era, rank_, self_)));
    } else {
        follows_ = vacantSince_ && now >= *vacantSince_ + successionDelay();
    }
    follows_ = follows_ && mayFollow;
    announcedContact_ = announcedContact_ && follows_;
    return follows_ != before;
}

std::optional<DirectoryBeacon> DirectoryElection::beacon(const DirectoryState &state, TimePoint now)
{
    const bool hasContact = state.lastContact && now - *state.lastContact < MaxContactAge;
    // The first beacon with contact is sent at once, since the next in the succession waits only for it.
    const bool due = now >= nextBeacon_ || (hasContact && !announcedContact_);
    if (!follows_ || !due) {
        return std::nullopt;
    }
    nextBeacon_ = now + BeaconPeriod;
    announcedContact_ = hasContact;
    return ownBeacon(state, now);
}

DirectoryBeacon DirectoryElection::ownBeacon(const DirectoryState &state, TimePoint now) const
{
    DirectoryBeacon beacon = farewell(state);
    beacon.contactAgeMs = contactAgeMs(state.lastContact, now);
    beacon.targetsContactAgeMs = contactAgeMs(state.targetsContact, now);
    return beacon;
}

DirectoryBeacon DirectoryElection::farewell(const DirectoryState &state) const
{
    DirectoryBeacon beacon;
    beacon.follower = self_;
    beacon.rank = rank_;
    beacon.serviceVersion = state.serviceVersion;
    beacon.targets = state.targets;
    beacon.contactAgeMs = static_cast<std::uint32_t>(LongestContactAge.count());
    beacon.targetsDigest = state.targetsDigest;
    beacon.targetsContactAgeMs = beacon.contactAgeMs;
    beacon.evacuations = state.evacuations;
    return beacon;
}

std::optional<DirectoryBeacon> DirectoryElection::knownBeacon(const DirectoryState &state, TimePoint now) const
{
    std::optional<DirectoryBeacon> beacon;
    if (hasFreshFollower(now)) {
        beacon = bestFollower_->beacon;
        beacon->contactAgeMs = contactAgeMs(bestFollower_->lastContact, now);
        beacon->targetsContactAgeMs = contactAgeMs(bestFollower_->targetsContact, now);
        beacon->evacuations = state.evacuations;
    } else if (follows_) {
        beacon = ownBeacon(state, now);
    }
    if (beacon) {
        beacon->relayed = true;
    }
    return beacon;
}

TimePoint DirectoryElection::nextTimer(TimePoint now) const
{
    if (!mayFollow_) {
        return TimePoint::max();
    }
    constexpr Milliseconds shortestDelay{ 1 };
    const TimePoint soonest = now + shortestDelay;
    if (follows_) {
        return std::max(nextBeacon_, soonest);
    }
    if (hasFreshFollower(now)) {
        return std::min(bestFollower_->receivedAt + BeaconTimeout, bestFollower_->lastContact + MaxContactAge);
    }
    const TimePoint vacantSince = vacantSince_.value_or(now);
    return std::max(vacantSince + successionDelay(), soonest);
}

} // namespace poplarroad
