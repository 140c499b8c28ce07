#include "service/packetflows.h"

namespace poplarroad
{

PacketFlow *PacketFlows::find(const FlowKey &key)
{
    const auto known = flows_.find(key);
    return known == flows_.end() ? nullptr : &known->second;
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
    const auto known = flows_.find(key);
    if (known != flows_.end()) {
        uncount(known->second);
        flows_.erase(known);
    }
}

void PacketFlows::move(PacketFlow &flow, TargetIndex target)
{
    uncount(flow);
    flow.target = target;
    ++targets_.at(target).flows;
    targets_.at(target).busy += flow.busy ? 1 : 0;
}

void PacketFlows::setBusy(PacketFlow &flow, bool busy, TimePoint now)
{
    if (busy) {
        flow.waitingSince = now;
    }
    if (flow.busy != busy) {
        flow.busy = busy;
        TargetEntry &target = targets_.at(flow.target);
        target.busy += busy ? 1U : -1U;
    }
}

void PacketFlows::expire(TimePoint before)
{
    for (auto known = flows_.begin(); known != flows_.end();) {
        if (known->second.lastPacket < before) {
            uncount(known->second);
            flows_.erase(known++);
        } else {
            ++known;
        }
    }
}

void PacketFlows::collect(TargetIndex target, std::vector<FlowKey> &keys) const
{
    for (const auto &[key, flow] : flows_) {
        if (flow.target == target) {
            keys.push_back(key);
        }
    }
}

void PacketFlows::uncount(const PacketFlow &flow)
{
    TargetEntry &target = targets_.at(flow.target);
    --target.flows;
    target.busy -= flow.busy ? 1 : 0;
}

} // namespace poplarroad
