// Choice of the target for a new flow.

#include "service/flowrouter.h"

#include <algorithm>
#include <limits>

namespace poplarroad
{

namespace
{

/** Lower bound of the busy fraction, for the time before enough flows were seen. */
constexpr double MinBusyFraction = 0.02;
/** Weight of the current requests of a target; below 1, as they matter less than what its flows will send over time. */
constexpr double BusyFlowWeight = 0.5;
/** Cost in requests per slot of a target in another zone, for the longer path. */
constexpr double OtherZonePenalty = 1.0;
/**
 * Cost in requests per slot; large enough that a suspected or silent target, or one in an unreachable zone, is chosen only
 * if no other is left.
 */
constexpr double NotAnsweringPenalty = 1000.0;
/** Cost in requests per slot of an expired target: it is probably still up, but a present one is preferred. */
constexpr double ExpiredPenalty = 2.0;
/** Speed of a target that warms up, relative to its normal speed. */
constexpr double WarmupSpeed = 0.5;

} // namespace

ServiceId FlowRouter::pickService(const ServiceRoute &route, const Packet &packet) const
{
    std::uint64_t sum = 0;
    for (const WeightedService &weighted : route.services) {
        sum += weighted.weight;
    }
    // By hash, so that all balancers choose the same service for retransmissions of an opening packet.
    std::uint64_t position = sum == 0 ? 0 : rendezvousWeight(packet.flow.hash(), packet.sequence) % sum;
    for (const WeightedService &weighted : route.services) {
        if (position < weighted.weight) {
            return weighted.service;
        }
        position -= weighted.weight;
    }
    return route.services.front().service;
}

std::optional<TargetIndex> FlowRouter::chooseTarget(const ServiceRoute &route, const Packet &packet,
                                                    std::optional<TargetIndex> avoid, TimePoint now)
{
    warmupDeferred_ = false;
    isTrial_ = false;
    std::optional<TargetIndex> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::uint32_t ties = 0;
    const std::vector<TargetIndex> &candidates = targets_.ofService(pickService(route, packet));
    if (const auto trial = chooseTrialTarget(route, candidates, avoid, now)) {
        isTrial_ = true;
        return trial;
    }
    const double fraction = busyFraction(candidates);
    for (const TargetIndex index : candidates) {
        const TargetEntry &target = targets_.at(index);
        if (index == avoid || !acceptsNewFlows(index) || !mayOpenFlow(index, now)) {
            continue;
        }
        double cost = costOf(target, fraction, now) + TargetWatch::penaltyOf(target);
        if (target.detector.liveness() != TargetLiveness::Answering
            || watch_.isUnreachable(target.listed.target.zone)) {
            cost += NotAnsweringPenalty;
        } else if (target.listing == ListingState::Expired) {
            cost += ExpiredPenalty;
        }
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
            ties = 1;
        } else if (cost == bestCost && random_.nextBelow(++ties) == 0) {
            best = index;
        }
    }
    if (warmupDeferred_) {
        warmups_.onFlowDeferred();
    }
    return best;
}

std::optional<TargetIndex> FlowRouter::chooseTrialTarget(const ServiceRoute &route,
                                                         const std::vector<TargetIndex> &candidates,
                                                         std::optional<TargetIndex> avoid, TimePoint now)
{
    // A trial can delay its caller until the first retransmission, so routes above normal urgency are excluded.
    if (avoid || route.urgency > Urgency::Normal) {
        return std::nullopt;
    }
    for (const TargetIndex index : candidates) {
        if (targets_.at(index).listed.target.zone == zone_ && acceptsNewFlows(index) && mayOpenFlow(index, now)
            && watch_.tryStartTrial(index, now)) {
            return index;
        }
    }
    return watch_.unreachableZones() == 0 ? std::nullopt : chooseZoneTrial(candidates, now);
}

std::optional<TargetIndex> FlowRouter::chooseZoneTrial(const std::vector<TargetIndex> &candidates, TimePoint now)
{
    std::optional<TargetIndex> chosen;
    std::uint32_t choices = 0;
    for (const TargetIndex index : candidates) {
        if (watch_.isUnreachable(targets_.at(index).listed.target.zone) && acceptsNewFlows(index)
            && mayOpenFlow(index, now) && random_.nextBelow(++choices) == 0) {
            chosen = index;
        }
    }
    return chosen && watch_.tryStartZoneTrial(targets_.at(*chosen).listed.target.zone, now) ? chosen : std::nullopt;
}

bool FlowRouter::mayOpenFlow(TargetIndex index, TimePoint now)
{
    const bool may = warmups_.mayOpenFlow(targets_.at(index), now);
    warmupDeferred_ = warmupDeferred_ || !may;
    return may;
}

bool FlowRouter::acceptsNewFlows(TargetIndex index) const
{
    return isUsable(index) && !evacuated_.contains(targets_.at(index));
}

bool FlowRouter::isUsable(TargetIndex index) const
{
    const TargetEntry &target = targets_.at(index);
    return target.listed.target.state == TargetState::Active && targets_.ownsNumber(index)
        && targets_.ownTag(index) != PacketTag{};
}

double FlowRouter::busyFraction(const std::vector<TargetIndex> &targets) const
{
    double busy = 0.0;
    double flows = 1.0;
    for (const TargetIndex index : targets) {
        const TargetEntry &target = targets_.at(index);
        // Flows that wait at targets that do not answer say nothing about how often flows wait.
        if (watch_.enabled()
            && (target.detector.liveness() != TargetLiveness::Answering
                || watch_.isUnreachable(target.listed.target.zone))) {
            continue;
        }
        busy += target.busyFlows + target.peerBusyFlows;
        flows += target.flows + target.peerFlows;
    }
    return std::clamp(busy / flows, MinBusyFraction, 1.0);
}

double FlowRouter::requestsPerSlot(const TargetEntry &target, TimePoint now) const
{
    const double speed = now < target.warmupEnd ? WarmupSpeed : 1.0;
    return target.evidence.ratio * (target.busyFlows + target.peerBusyFlows)
        / (speed * std::max<double>(target.listed.target.slots, 1.0));
}

double FlowRouter::costOf(const TargetEntry &target, double busyFraction, TimePoint now) const
{
    const double work =
        BusyFlowWeight * (target.busyFlows + target.peerBusyFlows) + busyFraction * (target.flows + target.peerFlows);
    const double speed = now < target.warmupEnd ? WarmupSpeed : 1.0;
    const double cost =
        TargetWatch::expectedWork(target, work) / (speed * std::max<double>(target.listed.target.slots, 1.0));
    return target.listed.target.zone == zone_ ? cost : cost + OtherZonePenalty;
}

} // namespace poplarroad
