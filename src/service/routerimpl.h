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

/** A message from a local caller or another balancer, with the path for its replies. */
struct IncomingMessage
{
    CallerMessage message;
    ReturnPath path;
    std::uint8_t hops = 0; ///< forwards so far
    bool forwarded = false; ///< another balancer forwarded it
};

/** Implementation of Router. */
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
    /** Properties of a message that decide how it may be routed, retried and refused. */
    struct MessageProperties
    {
        const Contract *contract = nullptr; ///< nullptr unless the message is a request
        bool idempotent = true;
        bool hasToken = false; ///< has a token that binds to a dispatcher, or one that was rejected
    };

    void route(IncomingMessage &incoming, const MessageProperties &properties, TimePoint now, RouteActions &actions);
    /** Refuses a message of an undeclared service or request kind. @return whether it did */
    bool rejectUndeclared(const IncomingMessage &incoming, RouteActions &actions);
    MessageProperties propertiesOf(const CallerMessage &message) const;
    /** @return whether no dispatcher can have run the request, so that notRun is a true reply */
    bool mayReplyNotRun(const IncomingMessage &incoming, const MessageProperties &properties);
    /** Refuses a request that the pool sheds for its urgency. @return whether it did */
    bool shed(const IncomingMessage &incoming, const MessageProperties &properties, const PoolId &pool, TimePoint now,
              RouteActions &actions);
    void send(IncomingMessage &incoming, const MessageProperties &properties, const Route &route, TimePoint now,
              RouteActions &actions);
    /** Dispatches a message that has reached MaxHops in this process, or refuses it. */
    void dispatchAtHopLimit(IncomingMessage &incoming, const MessageProperties &properties, const PoolId &pool,
                            RouteActions &actions);
    /** Adds the request to the pending table, or replaces the entry of an earlier attempt. */
    void addPending(const IncomingMessage &incoming, const MessageProperties &properties, const Route &route,
                    TimePoint now);
    /** Appends the action that sends the message along a LocalRoute or RemoteRoute. */
    void emit(CallerMessage message, const ReturnPath &path, std::uint8_t hops, const Route &route,
              RouteActions &actions);
    /** Replies notRun if that is certain, otherwise unknown. */
    void refuse(const IncomingMessage &incoming, const MessageProperties &properties, NotRunReason reason,
                Milliseconds retryAfter, RouteActions &actions);
    void replyNotRun(const IncomingMessage &incoming, NotRunReason reason, Milliseconds retryAfter,
                     RouteActions &actions);
    void replyUnknown(const IncomingMessage &incoming, UnknownReason reason, RouteActions &actions);
    void reply(const IncomingMessage &incoming, CallerReply reply, RouteActions &actions);
    /** Completes a request that waits for its retry when the caller cancels it. @return whether it did */
    bool cancelScheduledRetry(const IncomingMessage &incoming, RouteActions &actions);
    /** Sends a cancel to the dispatcher that its request was sent to. @return whether that request is pending */
    bool routeCancel(IncomingMessage &incoming, RouteActions &actions);

    /** Delivers the outcome to the caller; notRun becomes unknown if an earlier attempt may have run. */
    void deliverReply(const PendingKey &key, const PendingRequest &entry, CallerReply reply, RouteActions &actions);
    void onAnswer(const PendingKey &key, PendingRequest &entry, AnswerMessage answer, TimePoint now,
                  RouteActions &actions);
    /** Schedules a retry if the limits and the retry budget allow it, otherwise delivers the outcome. */
    void retryOrDeliver(const PendingKey &key, PendingRequest &entry, CallerReply outcome, TimePoint now,
                        RouteActions &actions);
    void resend(const PendingKey &key, PendingRequest &entry, TimePoint now, RouteActions &actions);
    /** Cancels the feed at its dispatcher, unless a retry is scheduled, and removes its entry. */
    void cancelFeed(PendingKey key, RouteActions &actions);
    /** Replies unknown to the caller and removes the entry. */
    void completeAsUnknown(PendingKey key, UnknownReason reason, RouteActions &actions);

    absl::flat_hash_map<ServiceId, RetryBudget> retryBudgets_;
    std::mt19937_64 random_; ///< for retry jitter
    bool endingFeeds_ = false; ///< the process is stopping
};

} // namespace poplarroad

#endif
