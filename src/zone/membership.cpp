#include "membershipimpl.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::chrono::minutes DeadMemberExpiry{ 10 };

} // namespace

Membership::Impl::Impl(PeerIdentity self, std::vector<HostAddress> seeds, MembershipTiming timing, std::uint64_t seed,
                       std::uint64_t epoch, std::uint16_t rank)
    : identity_(self)
    , self_{ self.address, self.incarnation, HostState::Alive, epoch, 0, rank }
    , seeds_(std::move(seeds))
    , timing_(timing)
    , random_(seed)
    , members_(self.address, random_)
    , prober_(members_, timing)
    , gateways_(self.zone, timing)
{
    std::erase(seeds_, self.address);
    rebuildView();
}

void Membership::Impl::detectPause(TimePoint now)
{
    if (lastCallAt_ && now - *lastCallAt_ > timing_.suspicionTimeout) {
        startJoin(now);
        prober_.restart(now);
    }
    lastCallAt_ = now;
    if (!joinStartedAt_) {
        startJoin(now);
    }
}

void Membership::Impl::onDatagram(const PeerIdentity &from, const PeerDatagram &datagram, TimePoint now,
                                  MembershipActions &actions)
{
    detectPause(now);
    if (from.address != self_.address) {
        std::visit(Visitor{
                       [&](const Ping &ping) { onPing(from, ping, now, actions); },
                       [&](const Ack &ack) { onAck(from, ack, now, actions); },
                       [&](const PingRequest &request) { onPingRequest(from, request, now, actions); },
                       [&](const ZoneSummaryMessage &summary) { onSummary(from, summary, now, actions); },
                   },
                   datagram);
    }
    publishChanges(now, actions);
}

void Membership::Impl::onPing(const PeerIdentity &from, const Ping &ping, TimePoint now, MembershipActions &actions)
{
    reportNewerRevision(from.address, ping.revision, actions);
    if (from.zone != identity_.zone) {
        onPingFromOtherZone(from, now, actions);
        return;
    }
    applyUpdates(ping.updates, now, actions);
    sendAck(from.address, ping.sequence, updatesFor(from.address), actions);
    if (ping.join) {
        sendMemberList(from.address, now, actions);
    } else {
        sendRepair(from.address, ping.digest, now, actions);
    }
}

void Membership::Impl::onAck(const PeerIdentity &from, const Ack &ack, TimePoint now, MembershipActions &actions)
{
    reportNewerRevision(from.address, ack.revision, actions);
    if (from.zone != identity_.zone) {
        return;
    }
    if (const auto answer = prober_.onAck(ack.sequence, from.address)) {
        sendAck(answer->requester, answer->sequence, updatesFor(answer->requester), actions);
    }
    applyUpdates(ack.updates, now, actions);
    if (!joined_) {
        joinAnsweredAt_ = joinAnsweredAt_.value_or(now);
        joined_ = ack.digest == viewDigest();
        viewOutdated_ = viewOutdated_ || joined_;
    }
    if (ack.sequence != 0) {
        sendRepair(from.address, ack.digest, now, actions);
    }
}

void Membership::Impl::onPingRequest(const PeerIdentity &from, const PingRequest &request, TimePoint now,
                                     MembershipActions &actions)
{
    reportNewerRevision(from.address, request.revision, actions);
    if (from.zone != identity_.zone || members_.find(request.target) == nullptr) {
        return;
    }
    applyUpdates(request.updates, now, actions);
    const SendProbe probe = prober_.relay(from.address, request.sequence, request.target, now);
    sendPing(probe.to, probe.sequence, false, actions);
}

void Membership::Impl::reportNewerRevision(const HostAddress &peer, Revision revision, MembershipActions &actions) const
{
    if (revision > revision_) {
        actions.emplace_back(NewerRevisionSeen{ peer, revision });
    }
}

void Membership::Impl::onTimer(TimePoint now, MembershipActions &actions)
{
    detectPause(now);
    ProbeActions probeActions;
    prober_.onTimer(now, probeActions);
    performProbeActions(probeActions, now, actions);
    continueJoin(now, actions);
    rediscoverHosts(now, actions);
    exchangeSummaries(now, actions);
    gossip(now, actions);
    publishChanges(now, actions);
}

TimePoint Membership::Impl::nextTimer() const
{
    TimePoint next = std::min({ prober_.nextTimer(), nextRediscovery_, nextSummary_ });
    if (!joined_) {
        next = std::min(next, nextJoin_);
    }
    return queue_.empty() ? next : std::min(next, nextGossip_);
}

void Membership::Impl::setRevision(Revision revision)
{
    revision_ = revision;
}

void Membership::Impl::leave(TimePoint now, MembershipActions &actions)
{
    if (self_.state != HostState::Leaving) {
        self_.state = HostState::Leaving;
        ++self_.version;
        queueOwnRecord(now);
        gossip(now, actions);
        publishChanges(now, actions);
    }
}

void Membership::Impl::onPaused(Incarnation incarnation, TimePoint now, MembershipActions &actions)
{
    lastCallAt_ = now;
    identity_.incarnation = incarnation;
    self_.incarnation = incarnation;
    ++self_.epoch;
    self_.version = 0;
    prober_.restart(now);
    startJoin(now);
    queueOwnRecord(now);
    continueJoin(now, actions);
    publishChanges(now, actions);
}

void Membership::Impl::publishChanges(TimePoint now, MembershipActions &actions)
{
    for (const HostAddress &removed : members_.removeDead(now - DeadMemberExpiry)) {
        deadChecks_.erase(removed);
        viewOutdated_ = true;
    }
    if (viewOutdated_) {
        rebuildView();
        actions.emplace_back(ViewChanged{ view_ });
    }
}

void Membership::Impl::rebuildView()
{
    auto view = std::make_shared<FleetView>();
    view->self = self_.address;
    view->incarnation = self_.incarnation;
    view->zone = identity_.zone;
    view->leaving = self_.state == HostState::Leaving;
    view->joined = joined_;
    view->hosts.push_back(self_);
    for (const auto &[address, member] : members_.members()) {
        view->hosts.push_back(member.record);
    }
    std::sort(view->hosts.begin(), view->hosts.end(),
              [](const HostRecord &a, const HostRecord &b) { return a.address < b.address; });
    view->otherZones = gateways_.forView();
    view_ = std::move(view);
    viewOutdated_ = false;
}

MembershipStatus Membership::Impl::status() const
{
    MembershipStatus status = status_;
    status.probesSent = prober_.probesSent();
    status.trackedDeadMembers = deadChecks_.size();
    return status;
}

Membership::Membership(PeerIdentity self, std::vector<HostAddress> seeds, MembershipTiming timing, std::uint64_t seed,
                       std::uint64_t epoch, std::uint16_t rank)
    : impl_(std::make_unique<Impl>(self, std::move(seeds), timing, seed, epoch, rank))
{
}

Membership::~Membership() = default;

void Membership::onDatagram(const PeerIdentity &from, const PeerDatagram &datagram, TimePoint now,
                            MembershipActions &actions)
{
    impl_->onDatagram(from, datagram, now, actions);
}

void Membership::onTimer(TimePoint now, MembershipActions &actions)
{
    impl_->onTimer(now, actions);
}

TimePoint Membership::nextTimer() const
{
    return impl_->nextTimer();
}

void Membership::setRevision(Revision revision)
{
    impl_->setRevision(revision);
}

void Membership::onPlatformHosts(const std::vector<HostAddress> &live, const std::vector<HostAddress> & /*leaving*/,
                                 TimePoint now, MembershipActions &actions)
{
    impl_->onPlatformHosts(live, now, actions);
}

void Membership::leave(TimePoint now, MembershipActions &actions)
{
    impl_->leave(now, actions);
}

void Membership::onPaused(Incarnation incarnation, TimePoint now, MembershipActions &actions)
{
    impl_->onPaused(incarnation, now, actions);
}

std::shared_ptr<const FleetView> Membership::view() const
{
    return impl_->view();
}

MembershipStatus Membership::status() const
{
    return impl_->status();
}

} // namespace poplarroad
