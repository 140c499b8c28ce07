#ifndef POPLARROAD_FLOW_H
#define POPLARROAD_FLOW_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <cstdint>

namespace poplarroad
{

/**
 * The routing decision for a flow, minted by the dispatcher of its pool and echoed by the caller.
 *
 * Only the dispatcher incarnation named here may run a non-idempotent request that carries the token.
 */
struct FlowToken
{
    FlowId flow;
    ServiceId service;
    ZoneId zone; ///< zone of the pool
    TargetId target;
    HostAddress dispatcher;
    Incarnation incarnation; ///< of the dispatcher; 0 in a token that binds to none
    Milliseconds issuedAt{ 0 }; ///< on the dispatcher's own monotonic clock, compared by that incarnation only

    /**
     * A balancer that is leaving or paused issues tokens of incarnation 0, which only keep the flow at its target: a
     * non-idempotent request that carries one is never run, as if it carried none.
     *
     * @return whether the token binds non-idempotent requests to a dispatcher
     */
    bool bindsToDispatcher() const
    {
        return incarnation.value != 0;
    }

    friend bool operator==(const FlowToken &, const FlowToken &) = default;
};

} // namespace poplarroad

#endif
