#include "service/flowrouter.h"

#include <algorithm>
#include <limits>

namespace poplarroad
{

namespace
{

/** How often idle flows are looked for; bounds the extra memory by a second of new flows. */
constexpr std::chrono::seconds expiryPeriod{ 1 };
/** Time on top of the idle timeout, for packets that are still on their way. */
constexpr std::chrono::seconds expirySlack{ 2 };
/** An idle flow will send again; it counts as this part of a request at its target. */
constexpr double idleFlowWeight = 0.1;
/** Requests that a target of another zone has to have less, for the way there. */
constexpr double otherZonePenalty = 0.3;
/** A target that warms up serves this part of its usual rate. */
constexpr double warmupSpeed = 0.5;

/** @return whether `later` follows `earlier` in sequence numbers that wrap */
bool isAfter(std::uint32_t later, std::uint32_t earlier)
{
    return static_cast<std::int32_t>(later - earlier) > 0;
}

} // namespace

FlowRouter::FlowRouter(ZoneId zone, std::uint64_t seed)
    : zone_(zone)
    , random_(seed)
    , flows_(targets_)
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
    PacketFlow &flow = flows_.add(packet.flow, *target, route.kind, now);
    flow.sent = packet.sequence;
    return forward(*target);
}

PacketDecision FlowRouter::onFlow(const Packet &packet, const ServiceRoute &route, TimePoint now)
{
    const auto target = targets_.find(packet.tag);
    if (!target) {
        return DropPacket{ DropReason::UnknownTag };
    }
    if (targets_.at(*target).listing == Listing::Gone) {
        flows_.remove(packet.flow);
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::TargetGone };
    }
    PacketFlow *flow = flows_.find(packet.flow);
    if (packet.finishes || packet.resets) {
        flows_.remove(packet.flow);
        return forward(*target);
    }
    if (!flow || flow->target != *target) {
        flow = &flows_.add(packet.flow, *target, route.kind, now);
        flow->sent = packet.sequence;
        flow->acknowledged = packet.acknowledged;
    }
    observe(*flow, packet, now);
    return forward(*target);
}

void FlowRouter::observe(PacketFlow &flow, const Packet &packet, TimePoint now)
{
    flow.lastPacket = now;
    flow.open = true;
    if (isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        flow.repeats = 0;
        flows_.setBusy(flow, false, now);
    }
    const std::uint32_t end = packet.sequence + packet.length;
    if (packet.length > 0 && isAfter(end, flow.sent)) {
        flow.sent = end;
        flows_.setBusy(flow, true, now);
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
    for (const TargetIndex index : targets_.ofService(serviceOf(route, packet))) {
        const TargetEntry &target = targets_.at(index);
        if (target.listed.target.state != TargetState::Active || target.belief == TargetBelief::Silent
            || index == avoid) {
            continue;
        }
        const double cost = costOf(target, now);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
            equals = 1;
        } else if (cost == bestCost && random_.below(++equals) == 0) {
            best = index;
        }
    }
    return best;
}

double FlowRouter::costOf(const TargetEntry &target, TimePoint now) const
{
    const double work = target.busy + target.busyElsewhere + idleFlowWeight * (target.flows + target.elsewhere);
    const double speed = now < target.warmAt ? warmupSpeed : 1.0;
    const double cost = work / (speed * std::max<double>(target.listed.target.slots, 1.0));
    return target.listed.target.zone == zone_ ? cost : cost + otherZonePenalty;
}

ForwardPacket FlowRouter::forward(TargetIndex target) const
{
    const TargetEntry &entry = targets_.at(target);
    return { &entry.listed.target, entry.tag };
}

void FlowRouter::onTimer(TimePoint now, std::vector<ResetFlow> & /*resets*/)
{
    if (services_) {
        flows_.expire(now - services_->idleTimeout - expirySlack);
    }
    nextTimer_ = now + expiryPeriod;
}

} // namespace poplarroad
