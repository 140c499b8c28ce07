#include "service/packetflows.h"

namespace poplarroad
{

namespace
{

/** A caller sends an opening packet again after 200 and 600 ms and gives up after 1.4 s. */
constexpr Milliseconds LongestOpening{ 2000 };
/** Added to the deadline of a request, for packets in transit. */
constexpr Milliseconds DeadlineSlack{ 500 };

} // namespace

PacketFlow *PacketFlows::find(const FlowKey &key)
{
    const auto found = flows_.find(key);
    return found == flows_.end() ? nullptr : &found->second;
}

PacketFlow &PacketFlows::add(const FlowKey &key, TargetIndex target, RequestKind kind, TimePoint now)
{
    remove(key);
    PacketFlow &flow = flows_[key];
    flow.target = target;
    flow.kind = kind;
    flow.openedAt = now;
    flow.lastPacket = now;
    ++targets_.at(target).flows;
    return flow;
}

void PacketFlows::remove(const FlowKey &key)
{
    const auto found = flows_.find(key);
    if (found != flows_.end()) {
        removeFromCounts(found->second);
        flows_.erase(found);
    }
}

void PacketFlows::reassign(PacketFlow &flow, TargetIndex target)
{
    removeFromCounts(flow);
    flow.target = target;
    ++targets_.at(target).flows;
    targets_.at(target).busyFlows += flow.busy ? 1 : 0;
}

void PacketFlows::setBusy(PacketFlow &flow, bool busy, TimePoint now)
{
    if (busy) {
        flow.waitingSince = now;
    }
    if (flow.busy != busy) {
        flow.busy = busy;
        TargetEntry &target = targets_.at(flow.target);
        target.busyFlows += busy ? 1U : -1U;
    }
}

void PacketFlows::expire(TimePoint before)
{
    for (auto it = flows_.begin(); it != flows_.end();) {
        if (it->second.lastPacket < before) {
            removeFromCounts(it->second);
            flows_.erase(it++);
        } else {
            ++it;
        }
    }
}

void PacketFlows::endAbandonedWaits(const ServiceMap &services, TimePoint now)
{
    for (auto it = flows_.begin(); it != flows_.end();) {
        PacketFlow &flow = it->second;
        if (!flow.established && now - flow.lastPacket > LongestOpening) {
            removeFromCounts(flow);
            flows_.erase(it++);
            continue;
        }
        if (flow.busy && flow.established) {
            const auto route = services.routes.find(it->first.service);
            if (route != services.routes.end() && now - flow.waitingSince > route->second.deadline + DeadlineSlack) {
                setBusy(flow, false, now);
            }
        }
        ++it;
    }
}

void PacketFlows::appendKeys(TargetIndex target, std::vector<FlowKey> &keys) const
{
    for (const auto &[key, flow] : flows_) {
        if (flow.target == target) {
            keys.push_back(key);
        }
    }
}

void PacketFlows::removeFromCounts(const PacketFlow &flow)
{
    TargetEntry &target = targets_.at(flow.target);
    --target.flows;
    target.busyFlows -= flow.busy ? 1 : 0;
}

} // namespace poplarroad
