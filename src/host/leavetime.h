#ifndef POPLARROAD_HOST_LEAVETIME_H
#define POPLARROAD_HOST_LEAVETIME_H

#include "poplarroad/configuration.h"

namespace poplarroad
{

/** Age at which callers renew a token. Until then they send new requests to the balancer that issued it. */
inline constexpr Milliseconds TokenRenewalAge{ 2000 };

/**
 * Computes how long a leaving balancer keeps running, so that the last request with one of its tokens, and the retries
 * of that request, still find its records. Feeds are ignored: they are told to resume at another balancer as soon as
 * this one leaves.
 *
 * @param configuration the current one; nullptr if there is none yet
 * @param limit upper bound of the result
 * @return TokenRenewalAge plus the longest request deadline of the services with targets, at most `limit`
 */
Milliseconds leaveTime(const ConfigurationPtr &configuration, Milliseconds limit);

} // namespace poplarroad

#endif
