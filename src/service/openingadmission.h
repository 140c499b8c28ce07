#ifndef POPLARROAD_SERVICE_OPENINGADMISSION_H
#define POPLARROAD_SERVICE_OPENINGADMISSION_H

#include "poplarroad/clock.h"
#include "poplarroad/directory.h"

namespace poplarroad
{

/**
 * Decides whether a new flow of a service is admitted under overload.
 *
 * A flow that is open can send at any time, so the opening is the only moment at which work can be refused. It is refused
 * when the best target has so many requests for each slot that the flow's first one would miss its latency goal; kinds
 * that are less urgent are refused at a shorter queue and so leave the rest to the others.
 */
class FlowAdmission
{
public:
    /**
     * @param requestsPerSlot requests for each slot at the target that the flow would go to
     * @return whether the flow may be opened
     */
    bool admits(const ServiceRoute &route, double requestsPerSlot) const;
    /**
     * Takes the time that a request took; one that found a free slot shows how long the service takes.
     *
     * @param requestsPerSlot requests for each slot at its target, this one included
     */
    void onAnswer(TimePoint::duration latency, double requestsPerSlot);
    Milliseconds serviceTime() const
    {
        return std::chrono::duration_cast<Milliseconds>(serviceTime_);
    }

private:
    /** Before the first answer; most requests of small targets take less. */
    static constexpr Milliseconds InitialServiceTime{ 50 };

    std::chrono::duration<double, std::milli> serviceTime_{ InitialServiceTime };
};

} // namespace poplarroad

#endif
