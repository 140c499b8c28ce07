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
struct IncomingMessage
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

    void handle(IncomingMessage incoming, TimePoint now, RouteActions &actions);
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
    struct MessageProperties
    {
        const Contract *contract = nullptr; ///< only of a request
        bool idempotent = true;
        bool hasToken = false; ///< also one that was rejected
    };

    void route(IncomingMessage &incoming, const MessageProperties &properties, TimePoint now, RouteActions &actions);
    bool rejectUndeclared(const IncomingMessage &incoming, RouteActions &actions);
    MessageProperties propertiesOf(const CallerMessage &message) const;
    bool mayReplyNotRun(const IncomingMessage &incoming, const MessageProperties &properties);
    bool shed(const IncomingMessage &incoming, const MessageProperties &properties, const PoolId &pool, TimePoint now,
              RouteActions &actions);
    void send(IncomingMessage &incoming, const MessageProperties &properties, const Route &route, TimePoint now,
              RouteActions &actions);
    /** Dispatches a message here that may not be forwarded again, or refuses it. */
    void dispatchAtHopLimit(IncomingMessage &incoming, const MessageProperties &properties, const PoolId &pool,
                            RouteActions &actions);
    void addPending(const IncomingMessage &incoming, const MessageProperties &properties, const Route &route,
                    TimePoint now);
    void emit(CallerMessage message, const ReturnPath &path, std::uint8_t hops, const Route &route,
              RouteActions &actions);
    void refuse(const IncomingMessage &incoming, const MessageProperties &properties, NotRunReason reason,
                Milliseconds retryAfter, RouteActions &actions);
    void replyNotRun(const IncomingMessage &incoming, NotRunReason reason, Milliseconds retryAfter,
                     RouteActions &actions);
    void replyUnknown(const IncomingMessage &incoming, UnknownReason reason, RouteActions &actions);
    void reply(const IncomingMessage &incoming, CallerReply reply, RouteActions &actions);
    bool cancelScheduledRetry(const IncomingMessage &incoming, RouteActions &actions);
    bool routeCancel(IncomingMessage &incoming, RouteActions &actions);

    /** Passes a verdict to the caller; a refusal that proves nothing becomes unknown. */
    void deliverReply(const PendingKey &key, const Pending &entry, CallerReply reply, RouteActions &actions);
    void onAnswer(const PendingKey &key, Pending &entry, AnswerMessage answer, TimePoint now, RouteActions &actions);
    void retryOrDeliver(const PendingKey &key, Pending &entry, CallerReply outcome, TimePoint now,
                        RouteActions &actions);
    void resend(const PendingKey &key, Pending &entry, TimePoint now, RouteActions &actions);
    /** Tells the dispatcher that nobody at this ingress waits for the feed any more, and forgets the feed. */
    void cancelFeed(PendingKey key, RouteActions &actions);
    void completeAsUnknown(PendingKey key, UnknownReason reason, RouteActions &actions);

    absl::flat_hash_map<ServiceId, RetryBudget> retryBudgets_;
    std::mt19937_64 random_; ///< for the jitter of retries
    bool endingFeeds_ = false; ///< the process stops
};

} // namespace poplarroad

#endif
