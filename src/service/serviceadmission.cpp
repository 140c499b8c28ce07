#include "service/serviceadmission.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Flows after which the counts of flows and answers are halved; old flows then lose their weight. */
constexpr double CountedFlows = 1000.0;

} // namespace

ServiceAdmission::ServiceAdmission(double jitter)
    : costRanked_(jitter)
{
}

void ServiceAdmission::setRoutes(bool differ, const absl::flat_hash_map<HostAddress, ServiceRoute> &routes)
{
    routesDiffer_ = differ;
    costRanked_.retainRoutes(routes);
}

bool ServiceAdmission::updatePressure(const ServiceLoad &load, TimePoint now)
{
    return costRanked_.updatePressure(load.mean, now);
}

std::optional<AdmissionRefusal> ServiceAdmission::decide(const ServiceRoute &route, const NewFlow &flow,
                                                         const ServiceLoad &load, TimePoint now)
{
    const bool ranked = routesDiffer_ && flowsAreShort() && costRanked_.isReady(route.address);
    std::optional<AdmissionRefusal> refusal;
    if (ranked) {
        refusal = costRanked_.decide(route, flow, load, now);
    } else if (!byLatencyGoal_.admits(route, load.selected)) {
        refusal = AdmissionRefusal::LatencyGoal;
    }
    if (!refusal && routesDiffer_) {
        costRanked_.onAdmitted(route, now);
        flows_ += 1.0;
        if (flows_ > CountedFlows) {
            flows_ /= 2.0;
            answers_ /= 2.0;
        }
    }
    return refusal;
}

void ServiceAdmission::onAnswer(const HostAddress &route, TimePoint::duration latency, double requestsPerSlot)
{
    byLatencyGoal_.onAnswer(latency, requestsPerSlot);
    if (routesDiffer_) {
        costRanked_.onAnswer(route, latency, requestsPerSlot);
        answers_ += 1.0;
    }
}

void ServiceAdmissions::setServices(const ServiceMap &services)
{
    absl::flat_hash_map<ServiceId, std::pair<Urgency, Urgency>> ranges; // least and most urgent
    for (const auto &[address, route] : services.routes) {
        for (const WeightedService &weighted : route.services) {
            auto &[least, most] = ranges.try_emplace(weighted.service, route.urgency, route.urgency).first->second;
            least = std::min(least, route.urgency);
            most = std::max(most, route.urgency);
        }
    }
    for (const auto &[service, range] : ranges) {
        of(service).setRoutes(policy_ == AdmissionPolicy::CostRanked && range.first != range.second, services.routes);
    }
}

ServiceAdmission &ServiceAdmissions::of(ServiceId service)
{
    const auto found = admissions_.find(service);
    if (found != admissions_.end()) {
        return found->second;
    }
    constexpr double units = 1U << 16U;
    const double jitter = static_cast<double>(rendezvousWeight(seed_, service.value) >> 48U) / units;
    return admissions_.emplace(service, ServiceAdmission(jitter)).first->second;
}

void ServiceAdmissions::updatePressure(ServiceId service, const ServiceLoad &load, TimePoint now)
{
    ServiceAdmission &admission = of(service);
    if (admission.routesDiffer() && admission.updatePressure(load, now)) {
        changes_.push_back({ service, admission.pressure().state(), admission.pressure().requestsPerSlot() });
    }
}

void ServiceAdmissions::onPaused()
{
    for (auto &[service, admission] : admissions_) {
        admission.onPaused();
    }
}

} // namespace poplarroad
