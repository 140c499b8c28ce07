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
 * A message that was forwarded this often is dispatched where it arrives, or refused when that host cannot dispatch it, so
 * that differing views cannot make a loop.
 */
inline constexpr std::uint8_t MaxHops = 3;

/** Hand the message to the dispatcher of a pool in this process. */
struct DispatchLocally
{
    PoolId pool;
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0; ///< forwards so far; at MaxHops the dispatcher assumes the pool
};

/** Send the message to another balancer. */
struct ForwardToHost
{
    HostAddress host;
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0; ///< including this one
};

/** Send a reply to a caller's endpoint at this ingress. */
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

/** Counters of the routing. */
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
 * Routing at the ingress: decides for each message of a caller which dispatcher handles it, keeps the return path until
 * the reply, and retries idempotent requests. It does no input or output. One task owns it.
 */
class Router
{
public:
    /** @param seed for random choices, so that a run can be repeated */
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
    /** Handles a reply of a dispatcher, here or elsewhere, to a request that entered at this ingress. */
    void onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions);
    /** Takes the state of a pool that came with a reply. */
    void onPoolReport(const PoolReport &report, TimePoint now);
    /** The connection to a balancer broke or could not be made; requests that wait for it are retried or unknown. */
    void onHostLost(const HostAddress &host, TimePoint now, RouteActions &actions);
    /**
     * Ends the feeds of this ingress because the process stops: the callers resume them through another balancer from the
     * last position that they have. A feed without a position yet ends with its first one.
     */
    void endFeeds(RouteActions &actions);
    /** Handles deadlines and retries; to be called at nextTimer(). */
    void onTimer(TimePoint now, RouteActions &actions);
    /** @return when onTimer() has to be called next */
    TimePoint nextTimer() const;
    RouterStatus status() const;
    /** @return why the latest new flow of the service went to its zone, for the operator's `explain` */
    std::vector<std::string> explain(ServiceId service) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
