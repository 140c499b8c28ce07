#ifndef POPLARROAD_SERVICE_FLOWADMISSION_H
#define POPLARROAD_SERVICE_FLOWADMISSION_H

#include "poplarroad/clock.h"
#include "poplarroad/directory.h"

namespace poplarroad
{

/**
 * Admission control for new flows of one service.
 *
 * An established flow can send at any time, so load can only be rejected when a flow is opened. A flow is rejected when
 * the best target has so many requests per slot that the first request of the flow would miss its latency goal. Less
 * urgent flows are rejected at a shorter queue, which leaves capacity for the more urgent ones.
 */
class FlowAdmission
{
public:
    /**
     * @param requestsPerSlot requests per slot at the target that the flow would go to
     * @return whether the flow is admitted
     */
    bool admits(const ServiceRoute &route, double requestsPerSlot) const;
    /**
     * Records the latency of a request. It updates the mean service time if the request did not wait for a slot.
     *
     * @param requestsPerSlot requests per slot at its target, including this one
     */
    void onAnswer(TimePoint::duration latency, double requestsPerSlot);
    /** @return moving average of the service time */
    Milliseconds serviceTime() const
    {
        return std::chrono::duration_cast<Milliseconds>(serviceTime_);
    }

private:
    /** Service time assumed before the first answer; most requests of small targets take less. */
    static constexpr Milliseconds InitialServiceTime{ 50 };

    std::chrono::duration<double, std::milli> serviceTime_{ InitialServiceTime };
};

} // namespace poplarroad

#endif
