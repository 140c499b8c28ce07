#ifndef POPLARROAD_SERVICE_SERVICEADMISSION_H
#define POPLARROAD_SERVICE_SERVICEADMISSION_H

#include "contract/admissionpolicy.h"
#include "contract/costrankedadmission.h"
#include "service/flowadmission.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace poplarroad
{

/** A change of the pressure on a service. */
struct PressureChange
{
    ServiceId service;
    Pressure pressure = Pressure::None;
    double requestsPerSlot = 0.0; ///< smoothed
};

/**
 * Chooses the admission of one service: CostRankedAdmission if its routes differ in urgency and its flows carry few
 * requests, else FlowAdmission.
 */
class ServiceAdmission
{
public:
    explicit ServiceAdmission(double jitter);

    /** @return whether the routes of the service differ in urgency */
    bool routesDiffer() const
    {
        return routesDiffer_;
    }
    void setRoutes(bool differ, const absl::flat_hash_map<HostAddress, ServiceRoute> &routes);
    /** Records a new flow before its admission. @return whether the state of the pressure changed */
    bool updatePressure(const ServiceLoad &load, TimePoint now);
    /** @return why the flow is refused, or nothing if it is admitted */
    std::optional<AdmissionRefusal> decide(const ServiceRoute &route, const NewFlow &flow, const ServiceLoad &load,
                                           TimePoint now);
    /** Records an answer to a flow of the route, see FlowAdmission::onAnswer(). */
    void onAnswer(const HostAddress &route, TimePoint::duration latency, double requestsPerSlot);
    /** Returns to FlowAdmission until new answers were seen, after this balancer did not run for a while. */
    void onPaused()
    {
        costRanked_.restart();
    }
    const PressureEstimate &pressure() const
    {
        return costRanked_.pressure();
    }

private:
    /** @return whether the flows carry fewer than two requests on average */
    bool flowsAreShort() const
    {
        return answers_ < MinAnswersPerLongFlow * flows_;
    }
    /** Refusing a flow of this many requests refuses all of them, so its value is more than that of one answer. */
    static constexpr double MinAnswersPerLongFlow = 2.0;

    FlowAdmission byLatencyGoal_;
    CostRankedAdmission costRanked_;
    bool routesDiffer_ = false;
    double flows_ = 0.0; ///< that were opened, with half the weight for each earlier period
    double answers_ = 0.0; ///< to `flows_`
};

/** The admission of each service. */
class ServiceAdmissions
{
public:
    /** @param seed for the differences between balancers */
    ServiceAdmissions(AdmissionPolicy policy, std::uint64_t seed)
        : policy_(policy)
        , seed_(seed)
    {
    }

    void setServices(const ServiceMap &services);
    ServiceAdmission &of(ServiceId service);
    void updatePressure(ServiceId service, const ServiceLoad &load, TimePoint now);
    void onPaused();
    /** @return the changes since the last call, oldest first */
    std::vector<PressureChange> takeChanges()
    {
        return std::exchange(changes_, {});
    }

private:
    AdmissionPolicy policy_;
    std::uint64_t seed_;
    absl::flat_hash_map<ServiceId, ServiceAdmission> admissions_;
    std::vector<PressureChange> changes_;
};

} // namespace poplarroad

#endif
