#ifndef POPLARROAD_SERVICE_ROUTERIMPL_H
#define POPLARROAD_SERVICE_ROUTERIMPL_H

#include "contract/poolshedding.h"
#include "contract/retrybudget.h"
#include "pendingtable.h"
#include "poplarroad/router.h"
#include "routeplanner.h"

#include <random>

namespace poplarroad
{

/** A message on its way through the router. */
struct Incoming
{
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0;
    bool forwarded = false;
};

/** State and steps of a Router. */
class Router::Impl
{
public:
    explicit Impl(std::uint64_t seed)
        : random_(seed)
    {
    }

    void handle(Incoming incoming, TimePoint now, RouteActions &actions);
    void onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions);
    void onHostLost(const HostAddress &host, TimePoint now, RouteActions &actions);
    void endFeeds(RouteActions &actions);
    void onTimer(TimePoint now, RouteActions &actions);

    RoutePlanner planner;
    PoolShedding shedding;
    PendingTable pending;
    RouterStatus status;

private:
    /** What the contract and the message allow. */
    struct Terms
    {
        const Contract *contract = nullptr; ///< only of a request
        bool idempotent = true;
        bool hasToken = false; ///< also one that was rejected
    };

    void route(Incoming &incoming, const Terms &terms, TimePoint now, RouteActions &actions);
    bool refuseUnknown(const Incoming &incoming, RouteActions &actions);
    Terms termsOf(const CallerMessage &message) const;
    bool mayRefuse(const Incoming &incoming, const Terms &terms);
    bool shed(const Incoming &incoming, const Terms &terms, const PoolId &pool, TimePoint now, RouteActions &actions);
    void send(Incoming &incoming, const Terms &terms, const Route &route, TimePoint now, RouteActions &actions);
    /** Dispatches a message here that may not be forwarded again, or refuses it. */
    void sendAtLastHop(Incoming &incoming, const Terms &terms, const PoolId &pool, RouteActions &actions);
    void remember(const Incoming &incoming, const Terms &terms, const Route &route, TimePoint now);
    void emit(CallerMessage message, const ReturnPath &path, std::uint8_t hops, const Route &route,
              RouteActions &actions);
    void refuse(const Incoming &incoming, const Terms &terms, NotRunReason reason, Milliseconds retryAfter,
                RouteActions &actions);
    void replyNotRun(const Incoming &incoming, NotRunReason reason, Milliseconds retryAfter, RouteActions &actions);
    void replyUnknown(const Incoming &incoming, UnknownReason reason, RouteActions &actions);
    void reply(const Incoming &incoming, CallerReply reply, RouteActions &actions);
    bool cancelWaiting(const Incoming &incoming, RouteActions &actions);
    bool followRequest(Incoming &incoming, RouteActions &actions);

    /** Passes a verdict to the caller; a refusal that proves nothing becomes unknown. */
    void passOn(const PendingKey &key, const PendingRequest &entry, CallerReply reply, RouteActions &actions);
    void onAnswer(const PendingKey &key, PendingRequest &entry, AnswerMessage answer, TimePoint now,
                  RouteActions &actions);
    void retryOrGiveUp(const PendingKey &key, PendingRequest &entry, CallerReply verdict, TimePoint now,
                       RouteActions &actions);
    void resend(const PendingKey &key, PendingRequest &entry, TimePoint now, RouteActions &actions);
    /** Tells the dispatcher that nobody at this ingress waits for the feed any more, and forgets the feed. */
    void leaveFeed(PendingKey key, RouteActions &actions);
    void giveUp(PendingKey key, UnknownReason reason, RouteActions &actions);

    absl::flat_hash_map<ServiceId, RetryBudget> budgets_;
    std::mt19937_64 random_; ///< for the jitter of retries
    bool endsFeeds_ = false; ///< the process stops
};

} // namespace poplarroad

#endif
