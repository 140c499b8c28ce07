#ifndef POPLARROAD_CONTRACT_COSTRANKEDADMISSION_H
#define POPLARROAD_CONTRACT_COSTRANKEDADMISSION_H

#include "contract/pressureestimate.h"
#include "contract/refusedcallers.h"
#include "contract/retrybudget.h"
#include "contract/routework.h"
#include "poplarroad/directory.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace poplarroad
{

/** Why a new flow is not admitted. With Deferred its opening packet gets no answer, else the flow is reset. */
enum class AdmissionRefusal : std::uint8_t {
    Deferred, ///< like Rank, but the next copy of the opening packet is early enough for the latency goal
    LatencyGoal, ///< FlowAdmission: the first answer would miss its latency goal
    Deadline, ///< the answer would come after the deadline
    Rank, ///< under pressure, other routes of the service have more value per work
    RetryBudget, ///< a retry after a refusal, while the budget for retries is spent
    Full, ///< the selected target holds all requests that it can
};

template<>
struct EnumNames<AdmissionRefusal>
{
    static constexpr std::array table{
        EnumName<AdmissionRefusal>{ AdmissionRefusal::Deferred, "deferred" },
        EnumName<AdmissionRefusal>{ AdmissionRefusal::LatencyGoal, "latency-goal" },
        EnumName<AdmissionRefusal>{ AdmissionRefusal::Deadline, "deadline" },
        EnumName<AdmissionRefusal>{ AdmissionRefusal::Rank, "rank" },
        EnumName<AdmissionRefusal>{ AdmissionRefusal::RetryBudget, "retry-budget" },
        EnumName<AdmissionRefusal>{ AdmissionRefusal::Full, "full" },
    };
};

/** A new flow that asks for admission. */
struct NewFlow
{
    std::uint32_t callerIp = 0;
    std::uint32_t copy = 0; ///< how often the opening packet was sent before
    double randomUnit = 0.0; ///< in [0, 1)
};

/** Load of the targets that can accept a new flow, in requests per slot, both waiting and running. */
struct ServiceLoad
{
    double selected = 0.0; ///< at the target that the flow would go to
    double mean = 0.0; ///< over the answering targets in the zone
    bool elsewhere = false; ///< the selected target is in another zone
};

/**
 * Admission of new flows of one service whose routes differ in urgency, by value per work.
 *
 * Without pressure every flow is admitted that can be answered in time. Under pressure routes with less value per work
 * are refused with a probability that grows with the load, down to a minimum share. Under moderate pressure they are
 * first deferred to the next copy of the opening packet, because a refused caller retries at once. Time and space for each flow are
 * bounded by the number of routes of the service.
 */
class CostRankedAdmission
{
public:
    /** @param jitter see PressureEstimate */
    explicit CostRankedAdmission(double jitter);

    /** @return why the flow is refused, or nothing if it is admitted */
    std::optional<AdmissionRefusal> decide(const ServiceRoute &route, const NewFlow &flow, const ServiceLoad &load,
                                           TimePoint now);
    /**
     * Records an answer.
     *
     * @param requestsPerSlot requests per slot at its target, including this one
     */
    void onAnswer(const HostAddress &route, TimePoint::duration latency, double requestsPerSlot);
    /** Records a flow that was admitted, by this class or by the admission that is used in its place. */
    void onAdmitted(const ServiceRoute &route, TimePoint now);
    /** Removes routes that the service does not have any more. */
    void retainRoutes(const absl::flat_hash_map<HostAddress, ServiceRoute> &routes);
    /** Discards the counts of answers, after this balancer did not run for a while. */
    void restart();
    /** @return whether there are enough answers of the route for decide() */
    bool isReady(const HostAddress &route) const;
    const PressureEstimate &pressure() const
    {
        return pressure_;
    }
    /** Records the load that a new flow meets. @return whether the state of the pressure changed */
    bool updatePressure(double meanRequestsPerSlot, TimePoint now)
    {
        return pressure_.update(meanRequestsPerSlot, now);
    }

private:
    struct RouteState
    {
        RouteWork work;
        double value = 1.0; ///< of one answer, from the urgency of the route
    };

    /** The other routes that compete with one for the room. */
    struct Competitors
    {
        double better = 0.0; ///< number of routes with more value per work
        double worse = 0.0; ///< number of routes with less
        double admittedMs = 0.0; ///< recent work of all routes, see RouteWork::admittedMs()
    };

    Competitors competitorsOf(const RouteState &self, TimePoint now) const;
    /** @return whether there is pressure and the route goes before all others that compete */
    bool goesFirst(const HostAddress &route, TimePoint now) const;
    std::optional<AdmissionRefusal> refusalOf(const ServiceRoute &route, const NewFlow &flow, const ServiceLoad &load,
                                              const RefusedCallers::Attempt &attempt, TimePoint now);
    /** @return expected time from now to the first answer in milliseconds */
    double expectedAnswerMs(const ServiceRoute &route, const ServiceLoad &load) const;
    /** @return whether the next copy of the opening packet can be answered within the latency goal */
    bool mayDefer(const ServiceRoute &route, const NewFlow &flow, const ServiceLoad &load,
                  const RefusedCallers::Attempt &attempt) const;
    /** @return whether other routes go before this one at the present load */
    bool isOutranked(const HostAddress &route, double randomUnit, TimePoint now) const;

    absl::flat_hash_map<HostAddress, RouteState> routes_;
    PressureEstimate pressure_;
    RefusedCallers refused_;
    RetryBudget lastAttempts_;
};

} // namespace poplarroad

#endif
