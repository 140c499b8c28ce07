#include "service/flowrouter.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Interval of the search for idle flows; limits the extra memory to the new flows of one second. */
constexpr Milliseconds ExpiryPeriod{ 1000 };
/** Interval at which targets that answer though their entries are gone are checked. */
constexpr Milliseconds UnlistedCheckPeriod{ 250 };
/** Added to the idle timeout for packets that are still in transit. */
constexpr std::chrono::seconds ExpirySlack{ 2 };
/**
 * Copies of an opening packet are sent 200 ms apart at least. Those that arrive closer together waited somewhere, and say
 * nothing about the target.
 */
constexpr Milliseconds MinOpeningTimeout{ 150 };

/** @return whether `later` follows `earlier`; sequence numbers wrap around */
bool isAfter(std::uint32_t later, std::uint32_t earlier)
{
    return static_cast<std::int32_t>(later - earlier) > 0;
}

/**
 * A flow that waits for the answer to a non-idempotent request is kept: its target may still answer, and its caller
 * could not repeat the request.
 *
 * @return whether the flow can be reset without loss
 */
bool mayReset(const PacketFlow &flow)
{
    return !flow.busy || flow.kind != RequestKind::NonIdempotent;
}

} // namespace

FlowRouter::FlowRouter(ZoneId zone, std::uint64_t seed, AdmissionPolicy admission)
    : zone_(zone)
    , random_(seed)
    , flows_(targets_)
    , warmups_(zone)
    , watch_(zone, targets_)
    , admissions_(admission, seed)
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
    admissions_.setServices(*services);
    services_ = std::move(services);
    warmups_.setServices(services_);
    watch_.onServices(*services_);
}

void FlowRouter::setTargets(const std::vector<TargetChange> &changes, bool complete, TimePoint now)
{
    targets_.apply(changes, complete, now);
    for (const TargetChange &change : changes) {
        const auto index = targets_.find(change.target.target.id);
        if (index && change.listing == ListingState::Gone && !targets_.twinOf(*index)) {
            failedTargets_.insert(*index);
            nextTimer_ = now;
        }
    }
}

void FlowRouter::setEvacuatedZones(std::vector<ZoneId> zones, TimePoint now)
{
    for (const ZoneId zone : evacuated_.setZones(std::move(zones))) {
        warmups_.onZoneReturned(zone, now);
    }
}

PacketDecision FlowRouter::onPacket(const Packet &packet, TimePoint now)
{
    if (!services_) {
        return DropPacket{ DropReason::UnknownRoute };
    }
    const auto route = services_->routes.find(packet.flow.service);
    if (route == services_->routes.end()) {
        return onUnknownRoute(packet);
    }
    return packet.opens ? onOpeningPacket(packet, route->second, now) : onFlowPacket(packet, route->second, now);
}

PacketDecision FlowRouter::onUnknownRoute(const Packet &packet)
{
    if (!removedRoutes_.contains(packet.flow.service)) {
        return DropPacket{ DropReason::UnknownRoute };
    }
    flows_.remove(packet.flow);
    return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::RouteRemoved };
}

PacketDecision FlowRouter::onOpeningPacket(const Packet &packet, const ServiceRoute &route, TimePoint now)
{
    PacketFlow *existing = flows_.find(packet.flow);
    if (existing && existing->sent == packet.sequence && !existing->established) {
        const TargetEntry &current = targets_.at(existing->target);
        // The target can have become cold, or the zone evacuated, since the first copy.
        const bool isForbidden = evacuated_.contains(current) || !warmups_.mayRetransmit(current, now);
        const bool isLate = now - existing->openedAt >= MinOpeningTimeout;
        if (!isLate && !isForbidden) {
            return forward(existing->target, packet.tag);
        }
        if (isLate) {
            // A retransmission: the first target did not answer in the usual time.
            observeRetransmission(packet.flow, *existing, now);
        }
        const auto alternative = chooseTarget(route, packet, existing->target, now);
        if (alternative) {
            flows_.reassign(*existing, *alternative);
        } else if (isForbidden) {
            warmupDeferred_ = warmupDeferred_ || !evacuated_.contains(current);
            flows_.remove(packet.flow);
            return refuseOpening(route, packet);
        }
        // Without an alternative the target may accept the flow only now, so the copy counts at the present time.
        warmups_.onFlowPlaced(targets_.at(existing->target), now);
        existing->lastPacket = now;
        return forward(existing->target, packet.tag);
    }
    const auto target = chooseTarget(route, packet, std::nullopt, now);
    if (!target) {
        return refuseOpening(route, packet);
    }
    // The load of a target under trial is that of flows which may never end there, so it cannot refuse the trial.
    if (const auto refusal = isTrial_ ? std::nullopt : refusalOf(route, packet, *target, now)) {
        if (*refusal == AdmissionRefusal::Deferred) {
            return DropPacket{ DropReason::Deferred };
        }
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::Overload, refusal };
    }
    PacketFlow &flow = flows_.add(packet.flow, *target, route.kind, now);
    flow.sent = packet.sequence;
    warmups_.onFlowPlaced(targets_.at(*target), now);
    // The first request follows within a round trip; counting it now reserves its capacity against other new flows.
    flows_.setBusy(flow, true, now);
    return forward(*target, packet.tag);
}

PacketDecision FlowRouter::refuseOpening(const ServiceRoute &route, const Packet &packet) const
{
    // A cold target has room again only after a second or more, and a reset lets the caller retry elsewhere at once.
    if (warmupDeferred_) {
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::Overload };
    }
    const std::vector<TargetIndex> &candidates = targets_.ofService(pickService(route, packet));
    const bool isEvacuated = std::any_of(candidates.begin(), candidates.end(), [&](TargetIndex index) {
        return isUsable(index) && evacuated_.contains(targets_.at(index));
    });
    if (isEvacuated) {
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::ZoneEvacuated };
    }
    return DropPacket{ DropReason::NoTarget };
}

PacketDecision FlowRouter::onFlowPacket(const Packet &packet, const ServiceRoute &route, TimePoint now)
{
    PacketFlow *flow = flows_.find(packet.flow);
    // Of a tag that several targets have, the flow itself tells which one is meant, if it is known here.
    const bool isKnown = flow && flow->established && targets_.sharesTag(flow->target, packet.tag);
    const auto target = isKnown ? std::optional(flow->target) : targets_.find(packet.tag);
    if (!target) {
        return DropPacket{ DropReason::UnknownTag };
    }
    const TargetEntry &entry = targets_.at(*target);
    if (entry.listing == ListingState::Gone && !entry.answersUnlisted(now)) {
        flows_.remove(packet.flow);
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::TargetGone };
    }
    if (packet.finishes || packet.resets) {
        targets_.at(*target).detector.onFlowEnded(packet.flow.hash());
        if (flow && flow->target == *target) {
            observeAnswer(*flow, packet, true, now);
            if (packet.finishes && isAfter(packet.acknowledged, flow->acknowledged)) {
                observeProgress(*flow, now);
            }
        }
        flows_.remove(packet.flow);
        return forward(*target, packet.tag);
    }
    if (!flow || flow->target != *target) {
        flow = &flows_.add(packet.flow, *target, route.kind, now);
        flow->sent = packet.sequence;
        flow->acknowledged = packet.acknowledged;
        // Opened through another balancer; the packet is no sign of progress at the target.
        flow->established = true;
    }
    // The flows of a target that becomes silent with this packet are reset by resetFlowsOfFailedTargets().
    const bool wasSilent = targets_.at(*target).detector.liveness() == TargetLiveness::Silent;
    observePacket(*flow, packet, now);
    if (wasSilent && targets_.at(*target).detector.isSilentOnRecentEvidence(now) && mayReset(*flow)) {
        flows_.remove(packet.flow);
        return ResetFlow{ packet.flow, packet.acknowledged, ResetReason::TargetSilent };
    }
    return forward(*target, packet.tag);
}

void FlowRouter::observePacket(PacketFlow &flow, const Packet &packet, TimePoint now)
{
    flow.lastPacket = now;
    const bool answered = isAfter(packet.acknowledged, flow.acknowledged);
    if (answered && flow.busy && flow.established) {
        const TargetEntry &target = targets_.at(flow.target);
        answerTimes_->add(now - flow.waitingSince);
        admissions_.of(target.listed.target.service)
            .onAnswer(packet.flow.service, now - flow.waitingSince, requestsPerSlot(target, now));
    }
    if (answered) {
        observeAnswer(flow, packet, false, now);
    }
    if (!flow.established || answered) {
        flow.acknowledged = packet.acknowledged;
        flow.established = true;
        flows_.setBusy(flow, false, now);
        observeProgress(flow, now);
    }
    const std::uint32_t end = packet.sequence + packet.length;
    if (packet.length == 0) {
        return;
    }
    if (isAfter(end, flow.sent)) {
        flow.sent = end;
        observeAnswer(flow, packet, true, now);
        flows_.setBusy(flow, true, now);
        flow.trace.begin(packet.acknowledged, requestsPerSlot(targets_.at(flow.target), now));
    } else if (!answered) {
        observeRetransmission(packet.flow, flow, now);
    }
}

void FlowRouter::observeProgress(const PacketFlow &flow, TimePoint now)
{
    LivenessDetector &detector = targets_.at(flow.target).detector;
    const TargetLiveness before = detector.liveness();
    detector.onProgress(now);
    recordLivenessChange(flow.target, before, now);
    if (watch_.onProgress(flow.target, now)) {
        restoreZone(targets_.at(flow.target).listed.target.zone, now);
    }
}

void FlowRouter::observeAnswer(PacketFlow &flow, const Packet &packet, bool complete, TimePoint now)
{
    const AnswerObservation seen{ packet.flow.service, flow.target, packet.acknowledged, now - flow.waitingSince };
    if (isAfter(packet.acknowledged, flow.acknowledged) || !flow.trace.isWaiting()) {
        watch_.onAcknowledged(flow.trace, seen, complete, now);
    } else if (packet.resets) {
        watch_.onReset(flow.trace, seen, now);
    }
}

void FlowRouter::restoreZone(ZoneId zone, TimePoint now)
{
    for (const auto &[id, index] : targets_.byId()) {
        TargetEntry &target = targets_.at(index);
        const TargetLiveness before = target.detector.liveness();
        if (target.listed.target.zone == zone && before != TargetLiveness::Answering) {
            target.detector.discardSilence(now);
            recordLivenessChange(index, before, now);
        }
    }
}

void FlowRouter::observeRetransmission(const FlowKey &key, PacketFlow &flow, TimePoint now)
{
    const TimePoint waitingSince = flow.established ? flow.waitingSince : flow.openedAt;
    watch_.onRetransmission(flow.target, waitingSince, now);
    LivenessDetector &detector = targets_.at(flow.target).detector;
    const TargetLiveness before = detector.liveness();
    detector.onRetransmission(key.hash(), waitingSince, now);
    recordLivenessChange(flow.target, before, now);
}

void FlowRouter::recordLivenessChange(TargetIndex target, TargetLiveness before, TimePoint now)
{
    const TargetEntry &entry = targets_.at(target);
    const TargetLiveness liveness = entry.detector.liveness();
    if (before == liveness) {
        return;
    }
    livenessChanges_.push_back({ entry.listed.target.id, liveness, entry.detector.retransmittingFlows(now),
                                 entry.detector.sinceProgressMs(now) });
    if (liveness == TargetLiveness::Silent) {
        failedTargets_.insert(target);
        nextTimer_ = now;
        watch_.onSilent(target, now);
    }
}

std::size_t FlowRouter::ownedColdTargets(TimePoint now)
{
    const auto owned = [&](const auto &entry) {
        const TargetEntry &target = targets_.at(entry.second);
        return target.listing != ListingState::Gone && warmups_.ownsColdTarget(target, now);
    };
    return static_cast<std::size_t>(std::count_if(targets_.byId().begin(), targets_.byId().end(), owned));
}

void FlowRouter::onPaused(TimePoint now)
{
    warmups_.onPaused(now);
    watch_.onPaused(now);
    for (const auto &[id, index] : targets_.byId()) {
        targets_.at(index).detector.onPaused(now);
    }
    admissions_.onPaused();
}

LoadReport FlowRouter::report(TimePoint now)
{
    LoadReport report;
    for (const auto &[id, index] : targets_.byId()) {
        TargetEntry &target = targets_.at(index);
        if (target.flows == 0 && target.detector.stuckFlows(now) == 0 && target.evidence.unreported == 0) {
            continue;
        }
        report.loads.push_back(
            { id, static_cast<std::uint16_t>(target.flows), static_cast<std::uint16_t>(target.busyFlows),
              static_cast<std::uint16_t>(target.detector.stuckFlows(now)), target.detector.sinceProgressMs(now) });
        TargetComparison::moveAnswers(target, report.loads.back());
    }
    return report;
}

void FlowRouter::onPeerReport(const HostAddress &peer, const LoadReport &report, TimePoint now)
{
    peerLoads_.onReport(peer, report, now, targets_);
    for (const TargetLoad &load : report.loads) {
        if (const auto index = targets_.find(load.target)) {
            if (watch_.onPeerReport(*index, load, now)) {
                restoreZone(targets_.at(*index).listed.target.zone, now);
            }
            LivenessDetector &detector = targets_.at(*index).detector;
            const TargetLiveness before = detector.liveness();
            detector.onPeerReport(peer.key(), load.stuck, Milliseconds(load.sinceProgressMs), now);
            recordLivenessChange(*index, before, now);
        }
    }
}

ForwardPacket FlowRouter::forward(TargetIndex target, PacketTag received) const
{
    const TargetEntry &entry = targets_.at(target);
    const PacketTag own = targets_.ownTag(target);
    const PacketTag fallback = received == PacketTag{} ? entry.tags.front() : received;
    return { &entry.listed.target, own == PacketTag{} ? fallback : own };
}

void FlowRouter::onTimer(TimePoint now, std::vector<ResetFlow> &resets)
{
    resetFlowsOfFailedTargets(now, resets);
    peerLoads_.expire(now, targets_);
    if (services_ && now >= nextExpiry_) {
        flows_.expire(now - services_->idleTimeout - ExpirySlack);
        flows_.endAbandonedWaits(*services_, now);
        warmups_.expire(now);
        nextExpiry_ = now + ExpiryPeriod;
    }
    nextTimer_ = std::min(std::max(nextExpiry_, now + ExpiryPeriod / 2), watch_.onTimer(now));
    if (!failedTargets_.empty()) {
        nextTimer_ = std::min(nextTimer_, now + UnlistedCheckPeriod);
    }
}

void FlowRouter::resetFlowsOfFailedTargets(TimePoint now, std::vector<ResetFlow> &resets)
{
    std::vector<FlowKey> keys;
    absl::flat_hash_set<TargetIndex> stillAnswering;
    for (const TargetIndex index : failedTargets_) {
        const TargetEntry &target = targets_.at(index);
        const bool gone = target.listing == ListingState::Gone;
        if (!gone && target.detector.liveness() != TargetLiveness::Silent) {
            continue;
        }
        if (gone && target.answersUnlisted(now)) {
            stillAnswering.insert(index);
            continue;
        }
        keys.clear();
        flows_.appendKeys(index, keys);
        for (const FlowKey &key : keys) {
            const PacketFlow &flow = *flows_.find(key);
            if (flow.established && (gone || mayReset(flow))) {
                resets.push_back(
                    { key, flow.acknowledged, gone ? ResetReason::TargetGone : ResetReason::TargetSilent });
                flows_.remove(key);
            }
        }
    }
    failedTargets_ = std::move(stillAnswering);
}

} // namespace poplarroad
