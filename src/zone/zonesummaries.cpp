#include "membershipimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::size_t ForwardFanout = 3;
// Limits the datagrams that a host sends when many zones change at once; digests on probes detect what was left out.
constexpr unsigned MaxForwardsPerPeriod = 24;
// Summaries sent at once to a peer whose digest differs.
constexpr std::size_t SummariesInRepair = 4;

} // namespace

std::vector<HostRecord> Membership::Impl::liveHosts() const
{
    std::vector<HostRecord> live;
    if (self_.state == HostState::Alive) {
        live.push_back(self_);
    }
    for (const auto &[address, member] : members_.members()) {
        if (FleetView::acceptsNewWork(member.record)) {
            live.push_back(member.record);
        }
    }
    return live;
}

ZoneSummary Membership::Impl::ownSummary(ZoneId receiver) const
{
    const std::vector<HostRecord> live = liveHosts();
    return { identity_.zone,
             gateways_.gatewaysFor(receiver, live),
             static_cast<std::uint32_t>(live.size()),
             revision_,
             true,
             0 };
}

void Membership::Impl::onPingFromOtherZone(const PeerIdentity &from, TimePoint now, MembershipActions &actions)
{
    actions.emplace_back(SendDatagram{ from.address, ZoneSummaryMessage{ ownSummary(from.zone), false } });
    if (auto known = gateways_.find(from.zone, now)) {
        // From this summary, a host that joins through a seed of another zone learns the gateways of its own zone.
        actions.emplace_back(SendDatagram{ from.address, ZoneSummaryMessage{ std::move(*known), false } });
    }
}

void Membership::Impl::onSummary(const PeerIdentity &from, const ZoneSummaryMessage &message, TimePoint now,
                                 MembershipActions &actions)
{
    const ZoneSummary &summary = message.summary;
    reportNewerRevision(from.address, summary.revision, actions);
    if (message.wantsReply) {
        actions.emplace_back(SendDatagram{ from.address, ZoneSummaryMessage{ ownSummary(from.zone), false } });
    }
    if (summary.zone == identity_.zone) {
        for (const HostAddress &gateway : summary.gateways) {
            if (!joined_ && gateway != self_.address) {
                sendPing(gateway, 0, true, actions);
            }
        }
        return;
    }
    const bool trusted = from.zone == summary.zone || from.zone == identity_.zone;
    const std::vector<ZoneSummary> before = gateways_.forView();
    if (!trusted) {
        return;
    }
    const SummarySource source = from.zone == identity_.zone ? SummarySource::OwnZone : SummarySource::OtherZone;
    const std::uint64_t digest = gateways_.digest();
    const bool mustForward = gateways_.onSummary(summary, source, now);
    viewOutdated_ = viewOutdated_ || gateways_.forView() != before;
    lastChangeAt_ = gateways_.digest() != digest ? now : lastChangeAt_;
    if (mustForward) {
        forwardSummary(*gateways_.find(summary.zone, now), actions);
    }
}

void Membership::Impl::forwardSummary(const ZoneSummary &summary, MembershipActions &actions)
{
    const std::size_t fanout = std::min(ForwardFanout, members_.liveCount());
    const auto send = [&](const std::optional<HostAddress> &peer) {
        if (peer && forwardsLeft_ > 0) {
            --forwardsLeft_;
            actions.emplace_back(SendDatagram{ *peer, ZoneSummaryMessage{ summary, false } });
        }
    };
    for (std::size_t i = 0; i < fanout; ++i) {
        send(members_.nextShuffled());
    }
    // Random selection alone misses one member in twenty; most of these have a ring predecessor that was reached.
    send(members_.ringSuccessor(0));
}

std::uint64_t Membership::Impl::viewDigest() const
{
    return members_.digest(self_) + gateways_.digest();
}

void Membership::Impl::sendSummaries(const HostAddress &to, std::size_t count, TimePoint now,
                                     MembershipActions &actions)
{
    for (std::size_t i = 0; i < std::min(count, gateways_.count()); ++i) {
        actions.emplace_back(SendDatagram{ to, ZoneSummaryMessage{ *gateways_.nextForRepair(now), false } });
    }
}

void Membership::Impl::sendSummaryRepair(const HostAddress &to, TimePoint now, MembershipActions &actions)
{
    sendSummaries(to, SummariesInRepair, now, actions);
}

void Membership::Impl::exchangeSummaries(TimePoint now, MembershipActions &actions)
{
    if (now < nextSummary_) {
        return;
    }
    nextSummary_ = now + timing_.summaryPeriod;
    forwardsLeft_ = MaxForwardsPerPeriod;
    std::vector<ZoneId> lost;
    if (gateways_.onTimer(now, lost)) {
        viewOutdated_ = true;
        lastChangeAt_ = now;
    }
    if (!joined_) {
        return;
    }
    for (const ZoneId zone : lost) {
        if (const auto summary = gateways_.find(zone, now)) {
            forwardSummary(*summary, actions);
        }
    }
    for (const ZoneSummary &other : gateways_.forView()) {
        const ZoneSummary own = ownSummary(other.zone);
        const bool isGateway = std::find(own.gateways.begin(), own.gateways.end(), self_.address) != own.gateways.end();
        gateways_.setGateway(other.zone, isGateway, now);
        if (!isGateway) {
            continue;
        }
        for (const HostAddress &gateway : other.gateways) {
            actions.emplace_back(SendDatagram{ gateway, ZoneSummaryMessage{ own, false } });
        }
    }
}

} // namespace poplarroad
