#ifndef POPLARROAD_CONTRACT_ADMISSIONPOLICY_H
#define POPLARROAD_CONTRACT_ADMISSIONPOLICY_H

#include "poplarroad/enumnames.h"

#include <cstdint>

namespace poplarroad
{

/** Which admission new flows can get. */
enum class AdmissionPolicy : std::uint8_t {
    LatencyGoal, ///< FlowAdmission for all services
    CostRanked, ///< CostRankedAdmission for the services that it applies to
};

template<>
struct EnumNames<AdmissionPolicy>
{
    static constexpr std::array table{
        EnumName<AdmissionPolicy>{ AdmissionPolicy::LatencyGoal, "latency-goal" },
        EnumName<AdmissionPolicy>{ AdmissionPolicy::CostRanked, "cost-ranked" },
    };
};

} // namespace poplarroad

#endif
