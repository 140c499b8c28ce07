#include "service/flowrouter.h"

#include <algorithm>
#include <limits>

namespace poplarroad
{

namespace
{

/** How often idle flows are looked for; bounds the extra memory by a second of new flows. */
constexpr Milliseconds expiryPeriod{ 1000 };
/** Time on top of the idle timeout, for packets that are still on their way. */
constexpr std::chrono::seconds expirySlack{ 2 };
/** Least part of their time that flows are taken to wait for answers, before enough of them were seen. */
constexpr double leastBusyPart = 0.02;
/** Requests that wait now count less than what the flows of a target bring over time. */
constexpr double presentWeight = 0.5;
/** Requests that a target of another zone has to have less, for the way there. */
constexpr double otherZonePenalty = 1.0;
/** A target that may not answer is chosen only when no other is left. */
constexpr double suspicionPenalty = 1000.0;
/** A target whose entry lapsed probably lives, but one whose entry is there comes first. */
constexpr double lapsePenalty = 2.0;
/** A target that warms up serves this part of its usual rate. */
constexpr double warmupSpeed = 0.5;

/** @return whether `later` follows `earlier` in sequence numbers that wrap */
bool isAfter(std::uint32_t later, std::uint32_t earlier)
{
    return static_cast<std::int32_t>(later - earlier) > 0;
}

/**
 * A non-idempotent request that waits is left to its target, which may yet answer; its caller could not repeat it.
 *
 * @return whether the flow loses nothing when it ends
 */
bool mayReset(const PacketFlow &flow)
{
    return !flow.busy || flow.kind != RequestKind::NonIdempotent;
}

} // namespace

FlowRouter::FlowRouter(ZoneId zone, std::uint64_t seed)
    : zone_(zone)
    , random_(seed)
    , flows_(targets_)
    , answerTimes_(std::make_unique<LatencyHistogram>())
{
}

void FlowRouter::setServices(ServiceMapPtr services)
{
    if (services_) {
        for (const auto &[address, route] : services_->routes) {
            if (!services->routes.contains(address)) {
                removedRoutes_.insert(address);
            }
        }
    }
    for (const auto &[address, route] : services->routes) {
        removedRoutes_.erase(address);
    }
    services_ = std::move(services);
}

void FlowRouter::setTargets(const std::vector<TargetChange> &changes, bool complete, TimePoint now)
{
    targets_.apply(changes, complete, now);
    for (const TargetChange &change : changes) {
        const auto index = targets_.find(change.target.target.id);
        if (index && change.listing == ListingState::Gone) {
            lost_.insert(*index);
            nextTimer_ = now;
        }
    }
}

PacketDecision FlowRouter::onPacket(const Packet &packet, TimePoint now)
{
    if (!services_) {
        return DropPacket{ DropReason::UnknownRoute };
    }
    const auto route = services_->routes.find(packet.flow.service);
    if (route == services_->routes.end()) {
        return onUnrouted(packet);
    }
    return packet.opens ? onOpening(packet, route->second, now) : onFlow(packet, route->second, now);
}

PacketDecision FlowRouter::onUnrouted(const Packet &packet)
{
    if (!removedRoutes_.contains(packet.flow.service)) {
        return DropPacket{ DropReason::UnknownRoute };
    }
    flows_.remove(packet.flow);
    return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::RouteRemoved };
}

PacketDecision FlowRouter::onOpening(const Packet &packet, const ServiceRoute &route, TimePoint now)
{
    PacketFlow *known = flows_.find(packet.flow);
    if (known && known->sent == packet.sequence && !known->open) {
        // The first target gave no answer in the usual time.
        observeRepeat(packet.flow, *known, now);
        const auto other = choose(route, packet, known->target, now);
        if (other) {
            flows_.move(*known, *other);
        }
        known->lastPacket = now;
        return forward(known->target);
    }
    const auto target = choose(route, packet, std::nullopt, now);
    if (!target) {
        return DropPacket{ DropReason::NoTarget };
    }
    if (!admissions_[serviceOf(route, packet)].admits(route, pressureOf(targets_.at(*target), now))) {
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::Overload };
    }
    PacketFlow &flow = flows_.add(packet.flow, *target, route.kind, now);
    flow.sent = packet.sequence;
    // Its first request follows within a round trip; until then other openings must not take its place.
    flows_.setBusy(flow, true, now);
    return forward(*target);
}

PacketDecision FlowRouter::onFlow(const Packet &packet, const ServiceRoute &route, TimePoint now)
{
    const auto target = targets_.find(packet.tag);
    if (!target) {
        return DropPacket{ DropReason::UnknownTag };
    }
    const bool silent = targets_.at(*target).evidence.belief() == TargetBelief::Silent;
    if (targets_.at(*target).listing == ListingState::Gone) {
        flows_.remove(packet.flow);
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::TargetGone };
    }
    PacketFlow *flow = flows_.find(packet.flow);
    if (packet.finishes || packet.resets) {
        targets_.at(*target).evidence.onFlowEnded(packet.flow.hash());
        flows_.remove(packet.flow);
        return forward(*target);
    }
    if (!flow || flow->target != *target) {
        flow = &flows_.add(packet.flow, *target, route.kind, now);
        flow->sent = packet.sequence;
        flow->acknowledged = packet.acknowledged;
        // Opened through another balancer: that its packets come here shows nothing of its target.
        flow->open = true;
    }
    observe(*flow, packet, now);
    if (silent && targets_.at(*target).evidence.belief() == TargetBelief::Silent && mayReset(*flow)) {
        flows_.remove(packet.flow);
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::TargetSilent };
    }
    return forward(*target);
}

void FlowRouter::observe(PacketFlow &flow, const Packet &packet, TimePoint now)
{
    flow.lastPacket = now;
    const bool answered = isAfter(packet.acknowledged, flow.acknowledged);
    if (answered && flow.busy && flow.open) {
        const TargetEntry &target = targets_.at(flow.target);
        answerTimes_->add(now - flow.waitingSince);
        admissions_[target.listed.target.service].onAnswer(now - flow.waitingSince, pressureOf(target, now));
    }
    if (!flow.open || answered) {
        flow.acknowledged = packet.acknowledged;
        flow.open = true;
        flows_.setBusy(flow, false, now);
        TargetEvidence &evidence = targets_.at(flow.target).evidence;
        const TargetBelief before = evidence.belief();
        evidence.onProgress(now);
        noteBelief(flow.target, before, now);
    }
    const std::uint32_t end = packet.sequence + packet.length;
    if (packet.length == 0) {
        return;
    }
    if (isAfter(end, flow.sent)) {
        flow.sent = end;
        flows_.setBusy(flow, true, now);
    } else if (!answered) {
        observeRepeat(packet.flow, flow, now);
    }
}

void FlowRouter::observeRepeat(const FlowKey &key, PacketFlow &flow, TimePoint now)
{
    TargetEvidence &evidence = targets_.at(flow.target).evidence;
    const TargetBelief before = evidence.belief();
    evidence.onRepeat(key.hash(), flow.open ? flow.waitingSince : flow.openedAt, now);
    noteBelief(flow.target, before, now);
}

void FlowRouter::noteBelief(TargetIndex target, TargetBelief before, TimePoint now)
{
    const TargetEntry &entry = targets_.at(target);
    const TargetBelief belief = entry.evidence.belief();
    if (before == belief) {
        return;
    }
    judgements_.push_back(
        { entry.listed.target.id, belief, entry.evidence.repeating(now), entry.evidence.sinceProgressMs(now) });
    if (belief == TargetBelief::Silent) {
        lost_.insert(target);
        nextTimer_ = now;
    }
}

LoadReport FlowRouter::report(TimePoint now) const
{
    LoadReport report;
    for (const auto &[id, index] : targets_.byId()) {
        const TargetEntry &target = targets_.at(index);
        if (target.flows == 0 && target.evidence.stuck(now) == 0) {
            continue;
        }
        report.loads.push_back({ id, static_cast<std::uint16_t>(target.flows), static_cast<std::uint16_t>(target.busy),
                                 static_cast<std::uint16_t>(target.evidence.stuck(now)),
                                 target.evidence.sinceProgressMs(now) });
    }
    return report;
}

void FlowRouter::onPeerReport(const HostAddress &peer, const LoadReport &report, TimePoint now)
{
    peerLoads_.take(peer, report, now, targets_);
    for (const TargetLoad &load : report.loads) {
        if (const auto index = targets_.find(load.target)) {
            TargetEvidence &evidence = targets_.at(*index).evidence;
            const TargetBelief before = evidence.belief();
            evidence.onPeerReport(peer.key(), load.stuck, Milliseconds(load.sinceProgressMs), now);
            noteBelief(*index, before, now);
        }
    }
}

ServiceId FlowRouter::serviceOf(const ServiceRoute &route, const Packet &packet) const
{
    std::uint64_t sum = 0;
    for (const WeightedService &weighted : route.services) {
        sum += weighted.weight;
    }
    // By hash, so that every balancer gives copies of an opening packet to the same service.
    std::uint64_t place = sum == 0 ? 0 : rendezvousWeight(packet.flow.hash(), packet.sequence) % sum;
    for (const WeightedService &weighted : route.services) {
        if (place < weighted.weight) {
            return weighted.service;
        }
        place -= weighted.weight;
    }
    return route.services.front().service;
}

std::optional<TargetIndex> FlowRouter::choose(const ServiceRoute &route, const Packet &packet,
                                              std::optional<TargetIndex> avoid, TimePoint now)
{
    std::optional<TargetIndex> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::uint32_t equals = 0;
    const std::vector<TargetIndex> &candidates = targets_.ofService(serviceOf(route, packet));
    if (const auto trial = chooseTrial(route, candidates, avoid, now)) {
        return trial;
    }
    const double part = busyPart(candidates);
    for (const TargetIndex index : candidates) {
        const TargetEntry &target = targets_.at(index);
        if (target.listed.target.state != TargetState::Active || index == avoid || !ownsTag(index)) {
            continue;
        }
        double cost = costOf(target, part, now);
        if (target.evidence.belief() != TargetBelief::Answering) {
            cost += suspicionPenalty;
        } else if (target.listing == ListingState::Lapsed) {
            cost += lapsePenalty;
        }
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
            equals = 1;
        } else if (cost == bestCost && random_.nextBelow(++equals) == 0) {
            best = index;
        }
    }
    return best;
}

std::optional<TargetIndex> FlowRouter::chooseTrial(const ServiceRoute &route,
                                                   const std::vector<TargetIndex> &candidates,
                                                   std::optional<TargetIndex> avoid, TimePoint now)
{
    // A trial may cost its caller the time until the first copy; the most urgent kinds are spared.
    if (avoid || route.urgency > Urgency::Normal) {
        return std::nullopt;
    }
    for (const TargetIndex index : candidates) {
        TargetEntry &target = targets_.at(index);
        const bool doubtful = target.evidence.belief() != TargetBelief::Answering;
        if (doubtful && target.listed.target.state == TargetState::Active && target.listed.target.zone == zone_
            && ownsTag(index) && target.evidence.takeTrial(now)) {
            return index;
        }
    }
    return std::nullopt;
}

bool FlowRouter::ownsTag(TargetIndex index) const
{
    return targets_.find(targets_.at(index).tag) == index;
}

double FlowRouter::busyPart(const std::vector<TargetIndex> &targets) const
{
    double busy = 0.0;
    double flows = 1.0;
    for (const TargetIndex index : targets) {
        const TargetEntry &target = targets_.at(index);
        busy += target.busy + target.busyElsewhere;
        flows += target.flows + target.elsewhere;
    }
    return std::clamp(busy / flows, leastBusyPart, 1.0);
}

double FlowRouter::pressureOf(const TargetEntry &target, TimePoint now) const
{
    const double speed = now < target.warmAt ? warmupSpeed : 1.0;
    return (target.busy + target.busyElsewhere) / (speed * std::max<double>(target.listed.target.slots, 1.0));
}

double FlowRouter::costOf(const TargetEntry &target, double busyPart, TimePoint now) const
{
    const double work =
        presentWeight * (target.busy + target.busyElsewhere) + busyPart * (target.flows + target.elsewhere);
    const double speed = now < target.warmAt ? warmupSpeed : 1.0;
    const double cost = work / (speed * std::max<double>(target.listed.target.slots, 1.0));
    return target.listed.target.zone == zone_ ? cost : cost + otherZonePenalty;
}

ForwardPacket FlowRouter::forward(TargetIndex target) const
{
    const TargetEntry &entry = targets_.at(target);
    return { &entry.listed.target, entry.tag };
}

void FlowRouter::onTimer(TimePoint now, std::vector<ResetFlow> &resets)
{
    endLostFlows(resets);
    peerLoads_.expire(now, targets_);
    if (services_ && now >= nextExpiry_) {
        flows_.expire(now - services_->idleTimeout - expirySlack);
        nextExpiry_ = now + expiryPeriod;
    }
    nextTimer_ = std::max(nextExpiry_, now + expiryPeriod / 2);
}

void FlowRouter::endLostFlows(std::vector<ResetFlow> &resets)
{
    std::vector<FlowKey> keys;
    for (const TargetIndex index : lost_) {
        const TargetEntry &target = targets_.at(index);
        const bool gone = target.listing == ListingState::Gone;
        if (!gone && target.evidence.belief() != TargetBelief::Silent) {
            continue;
        }
        keys.clear();
        flows_.collect(index, keys);
        for (const FlowKey &key : keys) {
            const PacketFlow &flow = *flows_.find(key);
            if (flow.open && (gone || mayReset(flow))) {
                resets.push_back(
                    { key, flow.acknowledged, gone ? ResetReason::TargetGone : ResetReason::TargetSilent });
                flows_.remove(key);
            }
        }
    }
    lost_.clear();
}

} // namespace poplarroad
