#ifndef POPLARROAD_MEMBERSHIP_H
#define POPLARROAD_MEMBERSHIP_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"

#include <memory>
#include <variant>
#include <vector>

namespace poplarroad
{

/** News about a member that travels on probes. */
struct MemberUpdate
{
    HostRecord host;

    friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

/** Probe of a member. */
struct Ping
{
    std::uint64_t sequence = 0;
    Revision revision; ///< configuration in force at the sender
    std::vector<MemberUpdate> updates;
    bool join = false; ///< the sender asks for the member list
    std::uint64_t digest = 0; ///< of what the sender knows: live members and other zones

    friend bool operator==(const Ping &, const Ping &) = default;
};

/** Answer to a probe. */
struct Ack
{
    std::uint64_t sequence = 0; ///< of the probe; 0 for gossip that answers no probe
    Revision revision;
    std::vector<MemberUpdate> updates;
    std::uint64_t digest = 0; ///< of what the sender knows: live members and other zones

    friend bool operator==(const Ack &, const Ack &) = default;
};

/** Request to probe another member on behalf of the sender. */
struct PingRequest
{
    std::uint64_t sequence = 0;
    HostAddress target;
    Revision revision;
    std::vector<MemberUpdate> updates;

    friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

/** Summary of the sender's zone for the gateways of another zone. */
struct ZoneSummaryMessage
{
    ZoneSummary summary;
    bool wantsReply = false; ///< the sender asks for a summary of the receiver's zone

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

/** The view changed; tasks that route take the new one. */
struct ViewChanged
{
    std::shared_ptr<const FleetView> view;
};

/** A peer has another configuration revision than this balancer. */
struct NewerRevisionSeen
{
    HostAddress peer;
    Revision revision;
};

using MembershipAction = std::variant<SendDatagram, ViewChanged, NewerRevisionSeen>;
using MembershipActions = std::vector<MembershipAction>;

/** Timing of the failure detection. */
struct MembershipTiming
{
    Milliseconds probePeriod{ 500 };
    Milliseconds indirectProbeDelay{ 200 };
    Milliseconds suspicionTimeout{ 1500 };
    Milliseconds summaryPeriod{ 1000 };
    Milliseconds zoneReachabilityTimeout{ 3500 }; ///< without a summary for this long a zone counts as unreachable
};

/** Counters of the membership. */
struct MembershipStatus
{
    std::uint64_t probesSent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t updatesSent = 0;
    std::uint64_t trackedDeadMembers = 0; ///< dead members for which the time of the last check is kept
};

/**
 * Membership of one zone by probes and gossip, and the summaries that gateways exchange between zones.
 *
 * It does no input or output. One task owns it.
 */
class Membership
{
public:
    /**
     * @param self this balancer
     * @param seeds addresses to join through, of any zone; from the settings and the platform's list
     * @param timing periods of the failure detection
     * @param seed for the order of probes, so that a run can be repeated
     * @param epoch larger than that of earlier processes at the address, for example the wall-clock start time;
     *              when a peer knows a larger one, it is raised
     */
    Membership(PeerIdentity self, std::vector<HostAddress> seeds, MembershipTiming timing, std::uint64_t seed,
               std::uint64_t epoch = 0);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    void onDatagram(const PeerIdentity &from, const PeerDatagram &datagram, TimePoint now, MembershipActions &actions);
    /** Sends probes and handles their deadlines; to be called at nextTimer(). */
    void onTimer(TimePoint now, MembershipActions &actions);
    /** @return when onTimer() has to be called next */
    TimePoint nextTimer() const;
    /** Takes the revision in force here, for the probes. */
    void setRevision(Revision revision);
    /** Takes a new list of hosts from the platform: more seeds, and hosts that will leave. A hint only. */
    void onPlatformHosts(const std::vector<HostAddress> &live, const std::vector<HostAddress> &leaving, TimePoint now,
                         MembershipActions &actions);
    /** Starts a graceful leave: the state is spread, and no new work is taken. */
    void leave(TimePoint now, MembershipActions &actions);
    /** Rejoins under a new incarnation after the process stood still. */
    void onPaused(Incarnation incarnation, TimePoint now, MembershipActions &actions);
    /** @return the present view, never null */
    std::shared_ptr<const FleetView> view() const;
    MembershipStatus status() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
