#ifndef POPLARROAD_ZONE_PROBER_H
#define POPLARROAD_ZONE_PROBER_H

#include "memberlist.h"

#include "poplarroad/membership.h"

#include <variant>

namespace poplarroad
{

/** Send a probe. */
struct SendProbe
{
    HostAddress to;
    std::uint64_t sequence = 0;
};

/** Ask another member to probe the target. */
struct RequestIndirectProbe
{
    HostAddress helper;
    HostAddress target;
    std::uint64_t sequence = 0;
};

/** The member answered neither directly nor through helpers. */
struct SuspectMember
{
    HostAddress address;
};

/** The member did not refute the suspicion in time. */
struct DeclareDead
{
    HostAddress address;
};

/** Tell a member that asked for it that the target of its probe answered. */
struct RelayedAck
{
    HostAddress requester;
    std::uint64_t sequence = 0;
};

using ProbeAction = std::variant<SendProbe, RequestIndirectProbe, SuspectMember, DeclareDead>;
using ProbeActions = std::vector<ProbeAction>;

/**
 * Failure detection: which member is probed when, and when a silent member is suspected and declared dead.
 *
 * Twice in a period a probe starts. Every other one goes to the next member on the ring, so each member is probed once
 * in each period by somebody; the rest alternate between the member after it, which covers two neighbours that fail
 * together, and a random member, which finds differences between distant parts of the ring.
 */
class Prober
{
public:
    Prober(MemberList &members, MembershipTiming timing);

    void onTimer(TimePoint now, ProbeActions &actions);
    TimePoint nextTimer() const;
    /**
     * Takes an answer; it counts only from the probed member or from a helper that was asked.
     *
     * @return the member that asked for the probe, when it was made for another one
     */
    std::optional<RelayedAck> onAck(std::uint64_t sequence, const HostAddress &from);
    /** Probes a member on behalf of another one. */
    SendProbe relay(const HostAddress &requester, std::uint64_t sequence, const HostAddress &target, TimePoint now);
    /** Starts a suspicion. @param observed whether a probe of this balancer failed, in place of news */
    void suspect(const HostAddress &address, bool observed, TimePoint now);
    /** Ends a suspicion. */
    void clear(const HostAddress &address);
    /** Starts all waiting again: after a pause of this process, silence of the others means nothing. */
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
        std::vector<HostAddress> helpers; ///< members that were asked to probe the target too
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
