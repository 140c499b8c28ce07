#include "membershipimpl.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr Milliseconds GossipInterval{ 100 };
constexpr std::size_t GossipFanout = 3;
// Member lists differ briefly after each change until the gossip has arrived; only lasting differences are repaired.
constexpr Milliseconds SettleTime{ 500 };
constexpr Milliseconds RepairInterval{ 200 };
constexpr Milliseconds DeadCheckInterval{ 500 };
constexpr std::size_t MaxDeadInRepair = 8;

} // namespace

void Membership::Impl::applyUpdates(const std::vector<MemberUpdate> &updates, TimePoint now, MembershipActions &actions)
{
    for (const MemberUpdate &update : updates) {
        applyRecord(update.host, now, actions);
    }
}

void Membership::Impl::applyRecord(const HostRecord &record, TimePoint now, MembershipActions &actions)
{
    if (record.address == self_.address) {
        refute(record, now);
        return;
    }
    Member *known = members_.find(record.address);
    const bool reportedLive = record.state == HostState::Alive || record.state == HostState::Leaving;
    if (known == nullptr && !reportedLive) {
        // The host may have been removed after its death. If it is alive, its refutation will arrive.
        return;
    }
    if (members_.merge(record, now)) {
        onRecordChanged(record, now);
    } else if (known != nullptr && known->record.state == HostState::Dead && record.state != HostState::Dead) {
        checkDead(*known, record, now, actions);
    }
}

void Membership::Impl::refute(const HostRecord &record, TimePoint now)
{
    const bool sameProcess = record.incarnation == self_.incarnation && record.epoch == self_.epoch;
    if (sameProcess && record.version >= self_.version && record.state != self_.state) {
        self_.version = record.version + 1;
        ++status_.refutations;
        queueOwnRecord(now);
    } else if (!sameProcess && supersedes(record, self_)) {
        // Peers know a larger epoch, from an earlier process at this address or from this one before a pause.
        self_.epoch = record.epoch + 1;
        self_.version = 0;
        queueOwnRecord(now);
    }
}

void Membership::Impl::checkDead(Member &member, const HostRecord &record, TimePoint now, MembershipActions &actions)
{
    const HostRecord &dead = member.record;
    const bool sameVersion = record.incarnation == dead.incarnation && record.version == dead.version;
    TimePoint &last = deadChecks_[record.address];
    if (!sameVersion || now - last < DeadCheckInterval) {
        return;
    }
    // Another member reports the host as not dead. Only the host itself can settle this, by refuting its death.
    last = now;
    sendPing(record.address, 0, false, actions);
}

void Membership::Impl::onRecordChanged(const HostRecord &record, TimePoint now)
{
    lastChangeAt_ = now;
    viewOutdated_ = true;
    prober_.clear(record.address);
    deadChecks_.erase(record.address);
    if (record.state == HostState::Suspected) {
        prober_.suspect(record.address, false, now);
    }
    // The rest of the zone already knows the live members that a joining host learns of; gossiping them would send the
    // whole member list many times.
    if (joined_ || !FleetView::acceptsNewWork(record)) {
        queueRecord(record, now);
    }
}

void Membership::Impl::queueRecord(const HostRecord &record, TimePoint now)
{
    if (queue_.empty()) {
        nextGossip_ = std::max(nextGossip_, now);
    }
    queue_.add(record);
}

void Membership::Impl::queueOwnRecord(TimePoint now)
{
    lastChangeAt_ = now;
    viewOutdated_ = true;
    queueRecord(self_, now);
}

void Membership::Impl::performProbeActions(const ProbeActions &probeActions, TimePoint now, MembershipActions &actions)
{
    for (const ProbeAction &action : probeActions) {
        std::visit(
            Visitor{
                [&](const SendProbe &probe) { sendPing(probe.to, probe.sequence, false, actions); },
                [&](const RequestIndirectProbe &request) {
                    actions.emplace_back(SendDatagram{
                        request.helper,
                        PingRequest{ request.sequence, request.target, revision_, updatesFor(request.helper) } });
                },
                [&](const SuspectMember &suspect) {
                    onUnresponsiveMember(suspect.address, HostState::Suspected, now, actions);
                },
                [&](const DeclareDead &dead) { onUnresponsiveMember(dead.address, HostState::Dead, now, actions); },
            },
            action);
    }
}

void Membership::Impl::onUnresponsiveMember(const HostAddress &address, HostState state, TimePoint now,
                                            MembershipActions &actions)
{
    Member *member = members_.find(address);
    if (member == nullptr || member->record.state == HostState::Dead) {
        return;
    }
    HostRecord record = member->record;
    record.state = state;
    if (members_.merge(record, now)) {
        onRecordChanged(record, now);
    }
    if (state == HostState::Suspected) {
        // A leaving member stays Leaving, but its suspicion times out in the same way.
        ++status_.suspicions;
        prober_.suspect(address, true, now);
    } else {
        ++status_.deaths;
        // The ping carries the host's record, so that a host that is alive learns of its death and refutes it.
        sendPing(address, 0, false, actions);
    }
}

std::vector<MemberUpdate> Membership::Impl::updatesFor(const HostAddress &to)
{
    std::vector<MemberUpdate> updates{ { self_ } };
    const Member *receiver = members_.find(to);
    if (receiver != nullptr) {
        // The receiver's record precedes the queued updates, since only the receiver can refute a suspicion of itself.
        updates.push_back({ receiver->record });
    }
    queue_.appendUpdates(updates, members_.liveCount() + 1);
    status_.updatesSent += updates.size();
    return updates;
}

void Membership::Impl::sendPing(const HostAddress &to, std::uint64_t sequence, bool join, MembershipActions &actions)
{
    actions.emplace_back(SendDatagram{ to, Ping{ sequence, revision_, updatesFor(to), join, viewDigest() } });
}

void Membership::Impl::sendAck(const HostAddress &to, std::uint64_t sequence, std::vector<MemberUpdate> updates,
                               MembershipActions &actions)
{
    actions.emplace_back(SendDatagram{ to, Ack{ sequence, revision_, std::move(updates), viewDigest() } });
}

void Membership::Impl::sendMemberList(const HostAddress &to, TimePoint now, MembershipActions &actions)
{
    std::vector<MemberUpdate> part{ { self_ } };
    for (const auto &[address, member] : members_.members()) {
        if (member.record.state == HostState::Dead || address == to) {
            continue;
        }
        part.push_back({ member.record });
        if (part.size() >= GossipQueue::MaxUpdates) {
            sendAck(to, 0, std::move(part), actions);
            part.clear();
        }
    }
    if (!part.empty()) {
        sendAck(to, 0, std::move(part), actions);
    }
    sendSummaries(to, gateways_.count(), now, actions);
}

void Membership::Impl::sendRepair(const HostAddress &peer, std::uint64_t digest, TimePoint now,
                                  MembershipActions &actions)
{
    if (digest == viewDigest() || now - lastChangeAt_ < SettleTime || now < nextRepair_) {
        return;
    }
    nextRepair_ = now + RepairInterval;
    std::vector<MemberUpdate> updates = updatesFor(peer);
    const std::size_t dead = std::min(members_.deadCount(), MaxDeadInRepair);
    for (std::size_t i = 0; i < dead && updates.size() < GossipQueue::MaxUpdates; ++i) {
        updates.push_back({ *members_.nextDeadForRepair() });
    }
    const std::size_t room = std::min(GossipQueue::MaxUpdates - updates.size(), members_.liveCount());
    for (std::size_t i = 0; i < room; ++i) {
        if (const auto record = members_.nextForRepair()) {
            updates.push_back({ *record });
        }
    }
    sendAck(peer, 0, std::move(updates), actions);
    sendSummaryRepair(peer, now, actions);
}

void Membership::Impl::gossip(TimePoint now, MembershipActions &actions)
{
    if (queue_.empty() || now < nextGossip_) {
        return;
    }
    nextGossip_ = now + GossipInterval;
    const std::size_t fanout = std::min(GossipFanout, members_.liveCount());
    for (std::size_t i = 0; i < fanout && !queue_.empty(); ++i) {
        if (const auto peer = members_.nextShuffled()) {
            sendAck(*peer, 0, updatesFor(*peer), actions);
        }
    }
}

} // namespace poplarroad
