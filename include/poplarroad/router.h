#ifndef POPLARROAD_ROUTER_H
#define POPLARROAD_ROUTER_H

#include "poplarroad/dispatcher.h"
#include "poplarroad/request.h"

#include <memory>
#include <variant>
#include <vector>

namespace poplarroad
{

/**
 * Limit on forwards of a message. At the limit the receiving host dispatches the message, or refuses it if it cannot,
 * so that hosts with different views do not forward it in a loop.
 */
inline constexpr std::uint8_t MaxHops = 3;

/** Hand the message to the dispatcher of a pool in this process. */
struct DispatchLocally
{
    PoolId pool;
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0; ///< forwards so far; at MaxHops the dispatcher takes over the pool
};

/** Send the message to another balancer. */
struct ForwardToHost
{
    HostAddress host;
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0; ///< forwards, including this one
};

/** Send a reply to a caller that is connected to this ingress. */
struct ReplyToLocalCaller
{
    std::uint64_t endpoint = 0;
    CallerReply reply;
};

/** Send a reply back to the balancer that forwarded the request. */
struct ReplyToIngress
{
    ReturnPath path;
    CallerReply reply;
};

using RouteAction = std::variant<DispatchLocally, ForwardToHost, ReplyToLocalCaller, ReplyToIngress>;
using RouteActions = std::vector<RouteAction>;

/** Counters and gauges of the router. */
struct RouterStatus
{
    std::uint64_t pending = 0; ///< requests whose reply is expected at this ingress
    std::uint64_t dispatchedLocally = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t retried = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unmatchedReplies = 0;
};

/**
 * Routes at the ingress: decides which dispatcher handles each message of a caller, keeps the return path until the
 * reply, and retries idempotent requests. It does no I/O itself. One task owns it.
 */
class Router
{
public:
    /** @param seed seeds the random choices, so that a run can be reproduced */
    explicit Router(std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void setConfiguration(ConfigurationPtr configuration, TimePoint now);
    void setView(std::shared_ptr<const FleetView> view, TimePoint now);
    /** Handles a message that a caller sent to this ingress; `endpoint` is where the replies go. */
    void onCallerMessage(CallerMessage message, std::uint64_t endpoint, TimePoint now, RouteActions &actions);
    /** Handles a message that another balancer forwarded; `hops` counts the forwards so far. */
    void onForwarded(CallerMessage message, const ReturnPath &path, std::uint8_t hops, TimePoint now,
                     RouteActions &actions);
    /** Handles a reply from a local or remote dispatcher to a request that this ingress received. */
    void onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions);
    /** Handles the pool state that came with a reply. */
    void onPoolReport(const PoolReport &report, TimePoint now);
    /** Handles the loss of the connection to a balancer; requests pending there are retried or reported as unknown. */
    void onHostLost(const HostAddress &host, TimePoint now, RouteActions &actions);
    /**
     * Ends the feeds of this ingress when the process stops; callers resume them through another balancer from the last
     * position that they received. A feed that has had no answer yet ends with its first one.
     */
    void endFeeds(RouteActions &actions);
    /** Handles deadlines and retries; to be called at nextTimer(). */
    void onTimer(TimePoint now, RouteActions &actions);
    /** @return when onTimer() has to be called next */
    TimePoint nextTimer() const;
    RouterStatus status() const;
    /** @return why the most recent new flow of the service went to its zone, for the operator's `explain` */
    std::vector<std::string> explain(ServiceId service) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
