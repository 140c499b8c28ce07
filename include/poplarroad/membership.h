#ifndef POPLARROAD_MEMBERSHIP_H
#define POPLARROAD_MEMBERSHIP_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"

#include <memory>
#include <variant>
#include <vector>

namespace poplarroad
{

/** State of a member, piggybacked on probes and acknowledgements. */
struct MemberUpdate
{
    HostRecord host;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/** Liveness probe of a member. */
struct Ping
{
    std::uint64_t sequence = 0;
    Revision revision; ///< configuration in force at the sender
    std::vector<MemberUpdate> updates;
    bool join = false; ///< whether the sender requests the member list
    std::uint64_t digest = 0; ///< hash of the live members and other zones that the sender knows

    friend bool operator==(const Ping &, const Ping &) = default;
};

/** Acknowledgement of a probe. */
struct Ack
{
    std::uint64_t sequence = 0; ///< of the probe; 0 for gossip that acknowledges no probe
    Revision revision;
    std::vector<MemberUpdate> updates;
    std::uint64_t digest = 0; ///< hash of the live members and other zones that the sender knows

    friend bool operator==(const Ack &, const Ack &) = default;
};

/** Request for an indirect probe: the receiver probes another member on behalf of the sender. */
struct PingRequest
{
    std::uint64_t sequence = 0;
    HostAddress target;
    Revision revision;
    std::vector<MemberUpdate> updates;

    friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/** Summary of the sender's zone, sent to the gateways of another zone. */
struct ZoneSummaryMessage
{
    ZoneSummary summary;
    bool wantsReply = false; ///< whether the sender requests a summary of the receiver's zone

    friend bool operator==(const ZoneSummaryMessage &, const ZoneSummaryMessage &) = default;
};

using PeerDatagram = std::variant<Ping, Ack, PingRequest, ZoneSummaryMessage>;

/** Authenticated sender of a datagram. */
struct PeerIdentity
{
    HostAddress address;
    Incarnation incarnation;
    ZoneId zone;

    friend bool operator==(const PeerIdentity &, const PeerIdentity &) = default;
};

/** Send a datagram to another balancer. */
struct SendDatagram
{
    HostAddress to;
    PeerDatagram datagram;
};

/** A new view to be distributed to the routing tasks. */
struct ViewChanged
{
    std::shared_ptr<const FleetView> view;
};

/** A peer announced a newer configuration revision than the one in force here. */
struct NewerRevisionSeen
{
    HostAddress peer;
    Revision revision;
};

using MembershipAction = std::variant<SendDatagram, ViewChanged, NewerRevisionSeen>;
using MembershipActions = std::vector<MembershipAction>;

/** Timing parameters of the failure detection and of the exchange between zones. */
struct MembershipTiming
{
    Milliseconds probePeriod{ 500 };
    Milliseconds indirectProbeDelay{ 200 }; ///< from a direct probe to the indirect probes if it is not acknowledged
    Milliseconds suspicionTimeout{ 1500 };
    Milliseconds summaryPeriod{ 1000 };
    Milliseconds zoneReachabilityTimeout{ 3500 }; ///< time without a summary after which a zone is unreachable
};

/** Statistics of the failure detection. */
struct MembershipStatus
{
    std::uint64_t probesSent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t updatesSent = 0;
    std::uint64_t trackedDeadMembers = 0; ///< dead members for which the time of the last check is stored
};

/**
 * Membership of one zone, maintained by probes and gossip, and the summaries that gateways exchange between zones.
 *
 * Performs no I/O. Owned by one task.
 */
class Membership
{
public:
    /**
     * @param self this balancer
     * @param seeds addresses to join through, in any zone; from the settings and the platform's host list
     * @param timing periods and timeouts of the failure detection
     * @param seed for the random order of probes, so that a run can be reproduced
     * @param epoch larger than that of earlier processes at the address, for example the wall-clock start time;
     *              increased if a peer knows a larger one
     * @param rank see HostRecord::rank
     */
    Membership(PeerIdentity self, std::vector<HostAddress> seeds, MembershipTiming timing, std::uint64_t seed,
               std::uint64_t epoch = 0, std::uint16_t rank = 0);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void onDatagram(const PeerIdentity &from, const PeerDatagram &datagram, TimePoint now, MembershipActions &actions);
    /** Sends probes and handles their timeouts; to be called at nextTimer(). */
    void onTimer(TimePoint now, MembershipActions &actions);
    /** @return the time of the next onTimer() call */
    TimePoint nextTimer() const;
    /** Sets the configuration revision in force here, which probes announce. */
    void setRevision(Revision revision);
    /** Processes the platform's host list: additional seeds, and hosts that will leave. The list is only a hint. */
    void onPlatformHosts(const std::vector<HostAddress> &live, const std::vector<HostAddress> &leaving, TimePoint now,
                         MembershipActions &actions);
    /** Starts a graceful leave: gossips the leaving state, and other balancers assign no new work to this one. */
    void leave(TimePoint now, MembershipActions &actions);
    /** Rejoins under a new incarnation after the process was paused. */
    void onPaused(Incarnation incarnation, TimePoint now, MembershipActions &actions);
    /** @return the current view, never nullptr */
    std::shared_ptr<const FleetView> view() const;
    MembershipStatus status() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
