#ifndef POPLARROAD_FORWARD_H
#define POPLARROAD_FORWARD_H

#include "poplarroad/dispatcher.h"
#include "poplarroad/request.h"

#include <cstdint>
#include <optional>

namespace poplarroad
{

/** A reply from a dispatcher to the ingress that received the request. */
struct ForwardedReply
{
    ReturnPath path;
    CallerReply reply;
    std::optional<PoolReport> report;
};

/** A caller's message that one balancer forwards to another. */
struct ForwardedMessage
{
    ReturnPath path;
    std::uint8_t hops = 0; ///< forwards, including this one
    CallerMessage message;
};

} // namespace poplarroad

#endif
