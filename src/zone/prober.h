#ifndef POPLARROAD_ZONE_PROBER_H
#define POPLARROAD_ZONE_PROBER_H

#include "memberlist.h"

#include "poplarroad/membership.h"

#include <variant>

namespace poplarroad
{

/** Action: send a probe. */
struct SendProbe
{
    HostAddress to;
    std::uint64_t sequence = 0;
};

/** Action: ask another member to probe the target (indirect probe). */
struct RequestIndirectProbe
{
    HostAddress helper;
    HostAddress target;
    std::uint64_t sequence = 0;
};

/** Action: suspect a member that answered neither direct nor indirect probes. */
struct SuspectMember
{
    HostAddress address;
};

/** Action: declare a member dead that did not refute its suspicion in time. */
struct DeclareDead
{
    HostAddress address;
};

/** Acknowledgement for the member that requested an indirect probe, sent once the target has answered. */
struct RelayedAck
{
    HostAddress requester;
    std::uint64_t sequence = 0;
};

using ProbeAction = std::variant<SendProbe, RequestIndirectProbe, SuspectMember, DeclareDead>;
using ProbeActions = std::vector<ProbeAction>;

/**
 * Failure detector: schedules probes and decides when an unresponsive member is suspected and declared dead.
 *
 * Two probes start in each probe period. One goes to the next member on the ring, so that every member is probed once
 * per period by another one. The other goes alternately to the member after that one, which covers two neighbours that
 * fail together, and to a random member, which detects differences between distant parts of the ring.
 */
class Prober
{
public:
    Prober(MemberList &members, MembershipTiming timing);

    void onTimer(TimePoint now, ProbeActions &actions);
    TimePoint nextTimer() const;
    /**
     * Handles an acknowledgement; it is ignored unless it comes from the probed member or a helper that was asked.
     *
     * @return the acknowledgement to relay, if the probe was sent on behalf of another member
     */
    std::optional<RelayedAck> onAck(std::uint64_t sequence, const HostAddress &from);
    /** Probes a member on behalf of another one. */
    SendProbe relay(const HostAddress &requester, std::uint64_t sequence, const HostAddress &target, TimePoint now);
    /** Starts a suspicion. @param observed whether a probe of this balancer failed; false for a received update */
    void suspect(const HostAddress &address, bool observed, TimePoint now);
    /** Ends the suspicion and the pending probes of a member. */
    void clear(const HostAddress &address);
    /** Drops pending probes and restarts all suspicions; to be called after a pause, when timeouts prove nothing. */
    void restart(TimePoint now);
    std::uint64_t probesSent() const
    {
        return probesSent_;
    }

private:
    struct Probe
    {
        HostAddress target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        TimePoint nextRetry;
        std::vector<HostAddress> helpers; ///< members that were asked for an indirect probe
    };
    struct Relay
    {
        std::uint64_t sequence = 0;
        HostAddress target;
        RelayedAck answer;
        TimePoint expiresAt;
    };
    struct Suspicion
    {
        HostAddress address;
        TimePoint since;
        TimePoint nextPing;
        bool observed = false;
    };

    std::optional<HostAddress> chooseTarget();
    std::optional<HostAddress> ringTarget(std::size_t distance);
    bool isPending(const HostAddress &address) const;
    void startProbe(TimePoint now, ProbeActions &actions);
    void continueProbes(TimePoint now, ProbeActions &actions);
    void requestIndirectProbes(Probe &probe, ProbeActions &actions);
    void continueSuspicions(TimePoint now, ProbeActions &actions);
    TimePoint deathDeadline(const Suspicion &suspicion) const;
    Microseconds retryInterval() const;
    void send(const HostAddress &to, std::uint64_t sequence, ProbeActions &actions);

    MemberList &members_;
    MembershipTiming timing_;
    std::vector<Probe> probes_;
    std::vector<Relay> relays_;
    std::vector<Suspicion> suspicions_;
    TimePoint nextProbe_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t probesSent_ = 0;
};

} // namespace poplarroad

#endif
