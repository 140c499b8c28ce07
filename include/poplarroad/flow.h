#ifndef POPLARROAD_FLOW_H
#define POPLARROAD_FLOW_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <cstdint>

namespace poplarroad
{

/**
 * Routing decision for a flow, issued by the dispatcher of its pool and echoed by the caller.
 *
 * Only the dispatcher incarnation named in the token may run a non-idempotent request that carries it.
 */
struct FlowToken
{
    FlowId flow;
    ServiceId service;
    ZoneId zone; ///< zone of the pool
    TargetId target;
    HostAddress dispatcher;
    Incarnation incarnation; ///< of the dispatcher; 0 if the token is not bound to one
    Milliseconds issuedAt{ 0 }; ///< monotonic time of the dispatcher; only that incarnation may compare it

    /**
     * A balancer that is leaving or was paused issues tokens of incarnation 0, which only keep the flow at its target; a
     * non-idempotent request with such a token is never run, as if it had no token.
     *
     * @return whether non-idempotent requests with this token are bound to the dispatcher that issued it
     */
    bool bindsToDispatcher() const
    {
        return incarnation.value != 0;
    }

    friend bool operator==(const FlowToken &, const FlowToken &) = default;
};

} // namespace poplarroad

#endif
