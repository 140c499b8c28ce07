#ifndef POPLARROAD_SERVICE_ROUTEMESSAGES_H
#define POPLARROAD_SERVICE_ROUTEMESSAGES_H

#include "pendingtable.h"
#include "poplarroad/request.h"

namespace poplarroad
{

/** @return the request that a message is about; a renewal or a close has sequence 0 */
RequestId requestIdOf(const CallerMessage &message);
ServiceId serviceOf(const CallerMessage &message);
CallerId callerOf(const CallerMessage &message);
const std::optional<FlowToken> &tokenOf(const CallerMessage &message);
/** @return whether a non-idempotent request with this token, verified or not, may have been accepted by a dispatcher */
bool sentWithBindingToken(const CallerMessage &message);
/** Removes the token without a mark, for work that any dispatcher may handle. */
void dropToken(CallerMessage &message);
/** Rejects a token of another flow or service, so that it cannot steer a message of this one. */
void rejectMismatchedToken(CallerMessage &message);

PendingKey pendingKeyOf(const CallerMessage &message, std::uint64_t endpoint);
PendingKey pendingKeyOf(const CallerReply &reply, std::uint64_t endpoint);

} // namespace poplarroad

#endif
