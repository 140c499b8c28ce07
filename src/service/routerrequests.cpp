#include "poplarroad/visitor.h"
#include "routemessages.h"
#include "routerimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Default and longest time for a renewal: enough to notice a lost balancer and to ask another one. */
constexpr Milliseconds RenewDeadline{ 1000 };

bool isRequest(const CallerMessage &message)
{
    return std::holds_alternative<RequestMessage>(message);
}

bool expectsReply(const CallerMessage &message)
{
    return isRequest(message) || std::holds_alternative<RenewMessage>(message);
}

/** Limits the remaining time of a request to the deadline of its contract, which is also the default. */
void limitRemainingTime(CallerMessage &message, const Contract *contract)
{
    auto *request = std::get_if<RequestMessage>(&message);
    if (request && contract) {
        request->remaining =
            request->remaining.count() > 0 ? std::min(request->remaining, contract->deadline) : contract->deadline;
    }
}

Milliseconds remainingTimeOf(const CallerMessage &message)
{
    if (const auto *request = std::get_if<RequestMessage>(&message)) {
        return request->remaining;
    }
    const auto *renew = std::get_if<RenewMessage>(&message);
    return renew && renew->remaining.count() > 0 ? std::min(renew->remaining, RenewDeadline) : RenewDeadline;
}

} // namespace

void Router::Impl::handle(IncomingMessage incoming, TimePoint now, RouteActions &actions)
{
    rejectMismatchedToken(incoming.message);
    if (rejectUndeclared(incoming, actions)) {
        return;
    }
    const MessageProperties properties = propertiesOf(incoming.message);
    if (!properties.idempotent && properties.hasToken && !tokenOf(incoming.message)) {
        replyUnknown(incoming, UnknownReason::TokenRejected, actions);
        return;
    }
    if (!tokenOf(incoming.message)) {
        dropToken(incoming.message);
    }
    if (isRequest(incoming.message) && !incoming.forwarded) {
        retryBudgets_[serviceOf(incoming.message)].onRequest(now);
    }
    if (cancelScheduledRetry(incoming, actions) || routeCancel(incoming, actions)) {
        return;
    }
    route(incoming, properties, now, actions);
}

bool Router::Impl::rejectUndeclared(const IncomingMessage &incoming, RouteActions &actions)
{
    const Configuration *configuration = planner.configuration();
    const Service *service = configuration ? configuration->findService(serviceOf(incoming.message)) : nullptr;
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    if (service && (!request || service->findContract(request->kind))) {
        return false;
    }
    if (sentWithBindingToken(incoming.message)) {
        replyUnknown(incoming, UnknownReason::TokenRejected, actions);
    } else {
        replyNotRun(incoming, service ? NotRunReason::UnknownKind : NotRunReason::UnknownService, Milliseconds(0),
                    actions);
    }
    return true;
}

Router::Impl::MessageProperties Router::Impl::propertiesOf(const CallerMessage &message) const
{
    MessageProperties properties;
    properties.hasToken = sentWithBindingToken(message);
    if (const auto *request = std::get_if<RequestMessage>(&message)) {
        properties.contract = planner.configuration()->findService(request->service)->findContract(request->kind);
        properties.idempotent = properties.contract->idempotent;
    }
    return properties;
}

bool Router::Impl::cancelScheduledRetry(const IncomingMessage &incoming, RouteActions &actions)
{
    if (!std::holds_alternative<CancelMessage>(incoming.message) || incoming.forwarded) {
        return false;
    }
    const PendingKey key = pendingKeyOf(incoming.message, incoming.path.endpoint);
    const PendingRequest *entry = pending.find(key);
    if (!entry || !entry->retryScheduled) {
        return false;
    }
    completeAsUnknown(key, UnknownReason::Cancelled, actions);
    return true;
}

bool Router::Impl::routeCancel(IncomingMessage &incoming, RouteActions &actions)
{
    if (!std::holds_alternative<CancelMessage>(incoming.message) || incoming.forwarded) {
        return false;
    }
    const PendingRequest *entry = pending.find(pendingKeyOf(incoming.message, incoming.path.endpoint));
    if (!entry) {
        return false;
    }
    const bool isLocal = entry->host == planner.view()->self;
    emit(std::move(incoming.message), incoming.path, 0,
         isLocal ? Route(LocalRoute{ entry->pool }) : Route(RemoteRoute{ entry->pool, entry->host }), actions);
    return true;
}

void Router::Impl::route(IncomingMessage &incoming, const MessageProperties &properties, TimePoint now,
                         RouteActions &actions)
{
    const RequestId id = requestIdOf(incoming.message);
    const auto &token = tokenOf(incoming.message);
    const bool bound = token && token->bindsToDispatcher() && !properties.idempotent;
    const Route route =
        planner.plan({ serviceOf(incoming.message), id.flow, id.sequence, token, bound, incoming.forwarded }, now);
    std::visit(
        Visitor{
            [&](const NoRoute &) { refuse(incoming, properties, NotRunReason::NoTarget, Milliseconds(0), actions); },
            [&](const BoundDispatcherLost &) { replyUnknown(incoming, UnknownReason::DispatcherLost, actions); },
            [&](const auto &poolRoute) {
                if (!bound && !incoming.forwarded && shed(incoming, properties, poolRoute.pool, now, actions)) {
                    return;
                }
                send(incoming, properties, route, now, actions);
            },
        },
        route);
}

bool Router::Impl::shed(const IncomingMessage &incoming, const MessageProperties &properties, const PoolId &pool,
                        TimePoint now, RouteActions &actions)
{
    if (!properties.contract || !mayReplyNotRun(incoming, properties)) {
        return false;
    }
    const Milliseconds retryAfter = shedding.remainingShedTime(pool, properties.contract->urgency, now);
    if (retryAfter.count() == 0) {
        return false;
    }
    replyNotRun(incoming, NotRunReason::Overload, retryAfter, actions);
    return true;
}

void Router::Impl::send(IncomingMessage &incoming, const MessageProperties &properties, const Route &route,
                        TimePoint now, RouteActions &actions)
{
    const auto *remote = std::get_if<RemoteRoute>(&route);
    if (mustDropToken(route)) {
        dropToken(incoming.message);
    }
    if (remote && incoming.hops >= MaxHops) {
        dispatchAtHopLimit(incoming, properties, remote->pool, actions);
        return;
    }
    if (!incoming.forwarded && expectsReply(incoming.message)) {
        limitRemainingTime(incoming.message, properties.contract);
        if (!pending.hasRoom() && !pending.find(pendingKeyOf(incoming.message, incoming.path.endpoint))) {
            refuse(incoming, properties, NotRunReason::Overload, Milliseconds(0), actions);
            return;
        }
        addPending(incoming, properties, route, now);
    }
    emit(std::move(incoming.message), incoming.path, incoming.hops, route, actions);
}

void Router::Impl::dispatchAtHopLimit(IncomingMessage &incoming, const MessageProperties &properties,
                                      const PoolId &pool, RouteActions &actions)
{
    const bool bound = !properties.idempotent && properties.hasToken;
    if (bound || pool.zone != planner.view()->zone) {
        refuse(incoming, properties, NotRunReason::TokenRequired, Milliseconds(0), actions);
        return;
    }
    ++status.dispatchedLocally;
    actions.emplace_back(DispatchLocally{ pool, std::move(incoming.message), incoming.path, incoming.hops });
}

void Router::Impl::addPending(const IncomingMessage &incoming, const MessageProperties &properties, const Route &route,
                              TimePoint now)
{
    const PendingKey key = pendingKeyOf(incoming.message, incoming.path.endpoint);
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    const PendingRequest *earlier = pending.find(key);
    PendingRequest entry;
    entry.deadline = now + remainingTimeOf(incoming.message);
    if (earlier && !request) {
        // Repeats of a renewal must not extend its deadline, or the caller would never get a reply.
        entry.deadline = std::min(entry.deadline, earlier->deadline);
    }
    entry.due = entry.deadline + DeadlineGrace;
    const auto *remote = std::get_if<RemoteRoute>(&route);
    entry.host = remote ? remote->host : planner.view()->self;
    entry.pool = remote ? remote->pool : std::get<LocalRoute>(route).pool;
    entry.feed = properties.contract && properties.contract->occupancy == Occupancy::Connection;
    entry.tokenBound = !properties.idempotent && properties.hasToken;
    entry.position = request ? request->resumeFrom : 0;
    // An earlier attempt may have run at another dispatcher; dispatchers do not share their records.
    entry.mayHaveRun = properties.idempotent && (earlier || (request && request->attempt > 0));
    if (properties.idempotent) {
        entry.message = std::make_unique<CallerMessage>(incoming.message);
    }
    pending.put(key, std::move(entry));
}

void Router::Impl::emit(CallerMessage message, const ReturnPath &path, std::uint8_t hops, const Route &route,
                        RouteActions &actions)
{
    if (const auto *remote = std::get_if<RemoteRoute>(&route)) {
        ++status.forwarded;
        actions.emplace_back(
            ForwardToHost{ remote->host, std::move(message), path, static_cast<std::uint8_t>(hops + 1) });
    } else {
        ++status.dispatchedLocally;
        actions.emplace_back(DispatchLocally{ std::get<LocalRoute>(route).pool, std::move(message), path, hops });
    }
}

bool Router::Impl::mayReplyNotRun(const IncomingMessage &incoming, const MessageProperties &properties)
{
    if (!properties.idempotent) {
        return !properties.hasToken;
    }
    // Only the first copy of an idempotent request at its ingress is certain not to have run.
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    return !incoming.forwarded && (!request || request->attempt == 0)
        && !pending.find(pendingKeyOf(incoming.message, incoming.path.endpoint));
}

void Router::Impl::refuse(const IncomingMessage &incoming, const MessageProperties &properties, NotRunReason reason,
                          Milliseconds retryAfter, RouteActions &actions)
{
    if (mayReplyNotRun(incoming, properties)) {
        replyNotRun(incoming, reason, retryAfter, actions);
    } else {
        replyUnknown(incoming, UnknownReason::DispatcherLost, actions);
    }
}

void Router::Impl::replyNotRun(const IncomingMessage &incoming, NotRunReason reason, Milliseconds retryAfter,
                               RouteActions &actions)
{
    ++status.refused;
    const CallerMessage &message = incoming.message;
    reply(
        incoming,
        NotRunMessage{ requestIdOf(message), serviceOf(message), callerOf(message), reason, retryAfter, std::nullopt },
        actions);
}

void Router::Impl::replyUnknown(const IncomingMessage &incoming, UnknownReason reason, RouteActions &actions)
{
    ++status.unknown;
    const CallerMessage &message = incoming.message;
    reply(incoming, UnknownMessage{ requestIdOf(message), serviceOf(message), callerOf(message), reason }, actions);
}

void Router::Impl::reply(const IncomingMessage &incoming, CallerReply reply, RouteActions &actions)
{
    if (!expectsReply(incoming.message)) {
        return;
    }
    if (incoming.forwarded) {
        actions.emplace_back(ReplyToIngress{ incoming.path, std::move(reply) });
    } else {
        actions.emplace_back(ReplyToLocalCaller{ incoming.path.endpoint, std::move(reply) });
    }
}

} // namespace poplarroad
