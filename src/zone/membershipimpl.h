#ifndef POPLARROAD_ZONE_MEMBERSHIPIMPL_H
#define POPLARROAD_ZONE_MEMBERSHIPIMPL_H

#include "gateways.h"
#include "gossipqueue.h"
#include "memberlist.h"
#include "prober.h"
#include "seededrandom.h"

#include "poplarroad/membership.h"

#include <absl/container/flat_hash_map.h>

namespace poplarroad
{

/** Implementation of Membership: dispatches messages and timers to its components and executes their actions. */
class Membership::Impl
{
public:
    Impl(PeerIdentity self, std::vector<HostAddress> seeds, MembershipTiming timing, std::uint64_t seed,
         std::uint64_t epoch, std::uint16_t rank);

    void onDatagram(const PeerIdentity &from, const PeerDatagram &datagram, TimePoint now, MembershipActions &actions);
    void onTimer(TimePoint now, MembershipActions &actions);
    TimePoint nextTimer() const;
    void setRevision(Revision revision);
    void onPlatformHosts(const std::vector<HostAddress> &live, TimePoint now, MembershipActions &actions);
    void leave(TimePoint now, MembershipActions &actions);
    void onPaused(Incarnation incarnation, TimePoint now, MembershipActions &actions);
    std::shared_ptr<const FleetView> view() const
    {
        return view_;
    }
    MembershipStatus status() const;

private:
    // Handling of received messages (membership.cpp).
    void detectPause(TimePoint now);
    void onPing(const PeerIdentity &from, const Ping &ping, TimePoint now, MembershipActions &actions);
    void onAck(const PeerIdentity &from, const Ack &ack, TimePoint now, MembershipActions &actions);
    void onPingRequest(const PeerIdentity &from, const PingRequest &request, TimePoint now, MembershipActions &actions);
    void reportNewerRevision(const HostAddress &peer, Revision revision, MembershipActions &actions) const;
    void publishChanges(TimePoint now, MembershipActions &actions);
    void rebuildView();

    // Member updates (memberupdates.cpp).
    void applyUpdates(const std::vector<MemberUpdate> &updates, TimePoint now, MembershipActions &actions);
    void applyRecord(const HostRecord &record, TimePoint now, MembershipActions &actions);
    void refute(const HostRecord &record, TimePoint now);
    void checkDead(Member &member, const HostRecord &record, TimePoint now, MembershipActions &actions);
    void onRecordChanged(const HostRecord &record, TimePoint now);
    void queueRecord(const HostRecord &record, TimePoint now);
    void queueOwnRecord(TimePoint now);
    void performProbeActions(const ProbeActions &probeActions, TimePoint now, MembershipActions &actions);
    void onUnresponsiveMember(const HostAddress &address, HostState state, TimePoint now, MembershipActions &actions);
    void sendRepair(const HostAddress &peer, std::uint64_t digest, TimePoint now, MembershipActions &actions);

    // Sending (memberupdates.cpp).
    std::vector<MemberUpdate> updatesFor(const HostAddress &to);
    void sendPing(const HostAddress &to, std::uint64_t sequence, bool join, MembershipActions &actions);
    void sendAck(const HostAddress &to, std::uint64_t sequence, std::vector<MemberUpdate> updates,
                 MembershipActions &actions);
    void sendMemberList(const HostAddress &to, TimePoint now, MembershipActions &actions);
    void gossip(TimePoint now, MembershipActions &actions);

    // Joining, and rediscovery of unreachable hosts (memberjoin.cpp).
    void startJoin(TimePoint now);
    void continueJoin(TimePoint now, MembershipActions &actions);
    void rediscoverHosts(TimePoint now, MembershipActions &actions);
    std::optional<HostAddress> nextSeed();

    // Other zones (zonesummaries.cpp).
    std::vector<HostRecord> liveHosts() const;
    ZoneSummary ownSummary(ZoneId receiver) const;
    void onPingFromOtherZone(const PeerIdentity &from, TimePoint now, MembershipActions &actions);
    void onSummary(const PeerIdentity &from, const ZoneSummaryMessage &message, TimePoint now,
                   MembershipActions &actions);
    void forwardSummary(const ZoneSummary &summary, MembershipActions &actions);
    /** @return a digest of the members and the other zones, sent on probes */
    std::uint64_t viewDigest() const;
    void sendSummaries(const HostAddress &to, std::size_t count, TimePoint now, MembershipActions &actions);
    void sendSummaryRepair(const HostAddress &to, TimePoint now, MembershipActions &actions);
    void exchangeSummaries(TimePoint now, MembershipActions &actions);

    PeerIdentity identity_;
    HostRecord self_;
    std::vector<HostAddress> seeds_;
    std::vector<HostAddress> platformSeeds_;
    MembershipTiming timing_;
    SeededRandom random_;
    MemberList members_;
    Prober prober_;
    GossipQueue queue_;
    Gateways gateways_;
    Revision revision_;
    absl::flat_hash_map<HostAddress, TimePoint> deadChecks_; ///< last probe of a dead member that a peer reported live

    bool joined_ = false;
    std::optional<TimePoint> joinStartedAt_;
    std::optional<TimePoint> joinAnsweredAt_;
    TimePoint nextJoin_{};
    std::size_t seedCursor_ = 0;
    TimePoint nextRediscovery_{};
    TimePoint nextGossip_{};
    TimePoint nextSummary_{};
    TimePoint nextRepair_{};
    TimePoint lastChangeAt_{};
    std::optional<TimePoint> lastCallAt_;
    unsigned forwardsLeft_ = 0; ///< datagrams with forwarded summaries still allowed in this summary period

    bool viewOutdated_ = true;
    std::shared_ptr<const FleetView> view_;
    MembershipStatus status_;
};

} // namespace poplarroad

#endif
