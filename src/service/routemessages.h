#ifndef POPLARROAD_SERVICE_ROUTEMESSAGES_H
#define POPLARROAD_SERVICE_ROUTEMESSAGES_H

#include "pendingtable.h"
#include "poplarroad/request.h"

namespace poplarroad
{

/** @return the identifier of the request that the message is about; sequence 0 for a renewal or a close */
RequestId requestIdOf(const CallerMessage &message);
ServiceId serviceOf(const CallerMessage &message);
CallerId callerOf(const CallerMessage &message);
const std::optional<FlowToken> &tokenOf(const CallerMessage &message);
/**
 * @return whether the message came with a token that binds to a dispatcher, or with one that was rejected; a dispatcher
 *         may have accepted a non-idempotent request with either
 */
bool sentWithBindingToken(const CallerMessage &message);
/** Removes the token and clears tokenRejected, for messages that any dispatcher may handle. */
void dropToken(CallerMessage &message);
/** Rejects a token of another flow or service, so that it cannot influence the routing of this message. */
void rejectMismatchedToken(CallerMessage &message);

PendingKey pendingKeyOf(const CallerMessage &message, std::uint64_t endpoint);
PendingKey pendingKeyOf(const CallerReply &reply, std::uint64_t endpoint);

} // namespace poplarroad

#endif
