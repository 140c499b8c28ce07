#include "membershipimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr Milliseconds JoinInterval{ 200 };
// A host without any answer for this long counts as joined and serves alone; rediscovery connects it later.
constexpr Milliseconds JoinTimeout{ 1000 };
// Time to receive the rest of the member list; parts that are lost are repaired through the digests of probes.
constexpr Milliseconds JoinSettleTime{ 500 };
constexpr Milliseconds RediscoveryInterval{ 1000 };
constexpr std::size_t MaxPlatformSeeds = 64;

} // namespace

void Membership::Impl::startJoin(TimePoint now)
{
    joined_ = false;
    joinStartedAt_ = now;
    joinAnsweredAt_.reset();
    nextJoin_ = now;
    viewOutdated_ = true;
}

void Membership::Impl::continueJoin(TimePoint now, MembershipActions &actions)
{
    if (joined_ || now < nextJoin_) {
        return;
    }
    const bool noPeers = seeds_.empty() && platformSeeds_.empty() && members_.liveCount() == 0;
    const bool answered = joinAnsweredAt_ && now - *joinAnsweredAt_ >= JoinSettleTime;
    if (noPeers || answered || (!joinAnsweredAt_ && now - *joinStartedAt_ >= JoinTimeout)) {
        joined_ = true;
        viewOutdated_ = true;
        return;
    }
    nextJoin_ = now + JoinInterval;
    const bool wantsList = !joinAnsweredAt_;
    if (const auto seed = nextSeed()) {
        sendPing(*seed, 0, wantsList, actions);
    }
    if (const auto member = members_.nextShuffled()) {
        sendPing(*member, 0, wantsList, actions);
    }
}

void Membership::Impl::rediscoverHosts(TimePoint now, MembershipActions &actions)
{
    if (now < nextRediscovery_) {
        return;
    }
    nextRediscovery_ = now + RediscoveryInterval;
    if (const auto dead = members_.randomDead()) {
        sendPing(*dead, 0, false, actions);
    }
    const auto seed = nextSeed();
    const Member *member = seed ? members_.find(*seed) : nullptr;
    if (seed && member == nullptr) {
        sendPing(*seed, 0, false, actions);
    }
}

std::optional<HostAddress> Membership::Impl::nextSeed()
{
    const std::size_t count = seeds_.size() + platformSeeds_.size();
    if (count == 0) {
        return std::nullopt;
    }
    const std::size_t index = seedCursor_++ % count;
    return index < seeds_.size() ? seeds_[index] : platformSeeds_[index - seeds_.size()];
}

void Membership::Impl::onPlatformHosts(const std::vector<HostAddress> &live, TimePoint now, MembershipActions &actions)
{
    detectPause(now);
    platformSeeds_ = live;
    std::erase(platformSeeds_, self_.address);
    random_.shuffle(platformSeeds_);
    platformSeeds_.resize(std::min(platformSeeds_.size(), MaxPlatformSeeds));
    publishChanges(now, actions);
}

} // namespace poplarroad
