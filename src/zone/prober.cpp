#include "prober.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::size_t HelperCount = 2; ///< members that are asked for an indirect probe
constexpr std::size_t MaxRelays = 64; ///< pending probes for other members; one more replaces the oldest
// A balancer that learned of a suspicion by gossip probes the member itself for this long before it declares the member
// dead. Without it, a single lost refutation made a live member dead in the view of that balancer.
constexpr Milliseconds VerifyTime{ 600 };

} // namespace

Prober::Prober(MemberList &members, MembershipTiming timing)
    : members_(members)
    , timing_(timing)
{
}

Microseconds Prober::retryInterval() const
{
    return Microseconds(timing_.indirectProbeDelay) / 2;
}

TimePoint Prober::deathDeadline(const Suspicion &suspicion) const
{
    const TimePoint due = suspicion.since + timing_.suspicionTimeout;
    return suspicion.observed ? due : due + VerifyTime;
}

void Prober::onTimer(TimePoint now, ProbeActions &actions)
{
    continueProbes(now, actions);
    continueSuspicions(now, actions);
    std::erase_if(relays_, [&](const Relay &relay) { return relay.expiresAt <= now; });
    if (now >= nextProbe_) {
        nextProbe_ = now + Microseconds(timing_.probePeriod) / 2;
        startProbe(now, actions);
    }
}

TimePoint Prober::nextTimer() const
{
    TimePoint next = nextProbe_;
    for (const Probe &probe : probes_) {
        next = std::min(next, probe.nextRetry);
    }
    for (const Suspicion &suspicion : suspicions_) {
        next = std::min({ next, suspicion.nextPing, deathDeadline(suspicion) });
    }
    return next;
}

bool Prober::isPending(const HostAddress &address) const
{
    return std::any_of(probes_.begin(), probes_.end(), [&](const Probe &probe) { return probe.target == address; })
        || std::any_of(suspicions_.begin(), suspicions_.end(),
                       [&](const Suspicion &suspicion) { return suspicion.address == address; });
}

std::optional<HostAddress> Prober::ringTarget(std::size_t distance)
{
    constexpr std::size_t maxSkipped = 4;
    for (std::size_t i = 0; i < std::min(maxSkipped, members_.liveCount()); ++i) {
        const auto target = members_.ringSuccessor(distance + i);
        if (target && !isPending(*target)) {
            return target;
        }
    }
    return std::nullopt;
}

std::optional<HostAddress> Prober::chooseTarget()
{
    const std::uint64_t tick = ticks_++;
    if (tick % 2 == 0) {
        return ringTarget(0);
    }
    return tick % 4 == 1 ? ringTarget(1) : members_.nextShuffled();
}

void Prober::send(const HostAddress &to, std::uint64_t sequence, ProbeActions &actions)
{
    ++probesSent_;
    actions.emplace_back(SendProbe{ to, sequence });
}

void Prober::startProbe(TimePoint now, ProbeActions &actions)
{
    const auto target = chooseTarget();
    if (!target || isPending(*target)) {
        return;
    }
    probes_.push_back({ *target, ++sequence_, now, now + retryInterval(), {} });
    send(*target, sequence_, actions);
}

void Prober::continueProbes(TimePoint now, ProbeActions &actions)
{
    std::vector<HostAddress> failed;
    for (Probe &probe : probes_) {
        if (now < probe.nextRetry) {
            continue;
        }
        probe.nextRetry = now + retryInterval();
        if (now >= probe.sentAt + 2 * timing_.indirectProbeDelay) {
            failed.push_back(probe.target);
            continue;
        }
        send(probe.target, probe.sequence, actions);
        if (probe.helpers.empty() && now >= probe.sentAt + timing_.indirectProbeDelay) {
            requestIndirectProbes(probe, actions);
        }
    }
    for (const HostAddress &target : failed) {
        std::erase_if(probes_, [&](const Probe &probe) { return probe.target == target; });
        actions.emplace_back(SuspectMember{ target });
    }
}

void Prober::requestIndirectProbes(Probe &probe, ProbeActions &actions)
{
    std::vector<HostAddress> &asked = probe.helpers;
    for (std::size_t i = 0;
         i < 2 * HelperCount && asked.size() < HelperCount && asked.size() + 1 < members_.liveCount(); ++i) {
        const auto helper = members_.nextShuffled();
        if (helper && *helper != probe.target) {
            actions.emplace_back(RequestIndirectProbe{ *helper, probe.target, probe.sequence });
            asked.push_back(*helper);
        }
    }
}

void Prober::continueSuspicions(TimePoint now, ProbeActions &actions)
{
    std::vector<HostAddress> dead;
    for (Suspicion &suspicion : suspicions_) {
        if (now >= deathDeadline(suspicion)) {
            dead.push_back(suspicion.address);
        } else if (now >= suspicion.nextPing) {
            suspicion.nextPing = now + retryInterval();
            send(suspicion.address, ++sequence_, actions);
        }
    }
    for (const HostAddress &address : dead) {
        clear(address);
        actions.emplace_back(DeclareDead{ address });
    }
}

std::optional<RelayedAck> Prober::onAck(std::uint64_t sequence, const HostAddress &from)
{
    const auto mayAnswer = [&](const Probe &probe) {
        return from == probe.target
            || std::find(probe.helpers.begin(), probe.helpers.end(), from) != probe.helpers.end();
    };
    std::erase_if(probes_, [&](const Probe &probe) { return probe.sequence == sequence && mayAnswer(probe); });
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay &candidate) {
        return candidate.sequence == sequence && candidate.target == from;
    });
    if (relay == relays_.end()) {
        return std::nullopt;
    }
    const RelayedAck answer = relay->answer;
    relays_.erase(relay);
    return answer;
}

SendProbe Prober::relay(const HostAddress &requester, std::uint64_t sequence, const HostAddress &target, TimePoint now)
{
    if (relays_.size() >= MaxRelays) {
        relays_.erase(relays_.begin());
    }
    relays_.push_back({ ++sequence_, target, { requester, sequence }, now + timing_.probePeriod });
    ++probesSent_;
    return { target, sequence_ };
}

void Prober::suspect(const HostAddress &address, bool observed, TimePoint now)
{
    const auto known = std::find_if(suspicions_.begin(), suspicions_.end(),
                                    [&](const Suspicion &suspicion) { return suspicion.address == address; });
    if (known != suspicions_.end()) {
        known->observed = known->observed || observed;
        return;
    }
    const TimePoint firstPing = observed ? now : now + timing_.suspicionTimeout;
    suspicions_.push_back({ address, now, firstPing, observed });
}

void Prober::clear(const HostAddress &address)
{
    std::erase_if(suspicions_, [&](const Suspicion &suspicion) { return suspicion.address == address; });
    std::erase_if(probes_, [&](const Probe &probe) { return probe.target == address; });
}

void Prober::restart(TimePoint now)
{
    probes_.clear();
    relays_.clear();
    for (Suspicion &suspicion : suspicions_) {
        suspicion.since = now;
        suspicion.nextPing = now;
    }
    nextProbe_ = now;
}

} // namespace poplarroad
