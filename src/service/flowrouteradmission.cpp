#include "service/flowrouter.h"

#include <algorithm>

namespace poplarroad
{

ServiceLoad FlowRouter::loadOf(ServiceId service, TargetIndex target, TimePoint now) const
{
    const double selected = requestsPerSlot(targets_.at(target), now);
    double sum = 0.0;
    double count = 0.0;
    for (const TargetIndex index : targets_.ofService(service)) {
        const TargetEntry &entry = targets_.at(index);
        if (entry.listed.target.zone == zone_ && acceptsNewFlows(index)
            && entry.detector.liveness() == TargetLiveness::Answering) {
            sum += requestsPerSlot(entry, now);
            count += 1.0;
        }
    }
    // Without such a target in the zone the flows go elsewhere, and meet the load of the selected target there.
    return { selected, count == 0.0 ? selected : sum / count, targets_.at(target).listed.target.zone != zone_ };
}

std::optional<AdmissionRefusal> FlowRouter::refusalOf(const ServiceRoute &route, const Packet &packet,
                                                      TargetIndex target, TimePoint now)
{
    const ServiceId service = pickService(route, packet);
    const ServiceLoad load = loadOf(service, target, now);
    admissions_.updatePressure(service, load, now);
    constexpr double units = 1ULL << 32U;
    // A hash, so that this balancer and its successor decide alike; a different one for each copy of the packet.
    const std::uint64_t hash = rendezvousWeight(packet.flow.hash(), packet.sequence + packet.acknowledged);
    const double randomUnit = static_cast<double>(hash >> 32U) / units;
    return admissions_.of(service).decide(route, { packet.flow.caller.ip, packet.acknowledged, randomUnit }, load, now);
}

} // namespace poplarroad
