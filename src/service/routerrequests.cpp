#include "poplarroad/visitor.h"
#include "routemessages.h"
#include "routerimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Of a renewal whose caller names no remaining time: to notice a lost balancer and to ask another one. */
constexpr Milliseconds RenewDeadline{ 1000 };

bool isRequest(const CallerMessage &message)
{
    return std::holds_alternative<RequestMessage>(message);
}

bool expectsReply(const CallerMessage &message)
{
    return isRequest(message) || std::holds_alternative<RenewMessage>(message);
}

/** Bounds the deadline that the caller asks for by its contract. */
void limitRemaining(CallerMessage &message, const Contract *contract)
{
    auto *request = std::get_if<RequestMessage>(&message);
    if (request && contract) {
        request->remaining =
            request->remaining.count() > 0 ? std::min(request->remaining, contract->deadline) : contract->deadline;
    }
}

Milliseconds remainingOf(const CallerMessage &message)
{
    if (const auto *request = std::get_if<RequestMessage>(&message)) {
        return request->remaining;
    }
    const auto *renew = std::get_if<RenewMessage>(&message);
    return renew && renew->remaining.count() > 0 ? std::min(renew->remaining, RenewDeadline) : RenewDeadline;
}

} // namespace

void Router::Impl::handle(Incoming incoming, TimePoint now, RouteActions &actions)
{
    rejectForeignToken(incoming.message);
    if (refuseUnknown(incoming, actions)) {
        return;
    }
    const Terms terms = termsOf(incoming.message);
    if (!terms.idempotent && terms.hasToken && !tokenOf(incoming.message)) {
        replyUnknown(incoming, UnknownReason::TokenRejected, actions);
        return;
    }
    if (!tokenOf(incoming.message)) {
        dropToken(incoming.message);
    }
    if (isRequest(incoming.message) && !incoming.forwarded) {
        budgets_[serviceOf(incoming.message)].onRequest(now);
    }
    if (cancelWaiting(incoming, actions) || followRequest(incoming, actions)) {
        return;
    }
    route(incoming, terms, now, actions);
}

bool Router::Impl::refuseUnknown(const Incoming &incoming, RouteActions &actions)
{
    const Configuration *configuration = planner.configuration();
    const Service *service = configuration ? configuration->findService(serviceOf(incoming.message)) : nullptr;
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    if (service && (!request || service->findContract(request->kind))) {
        return false;
    }
    if (sentBindingToken(incoming.message)) {
        replyUnknown(incoming, UnknownReason::TokenRejected, actions);
    } else {
        replyNotRun(incoming, service ? NotRunReason::UnknownKind : NotRunReason::UnknownService, Milliseconds(0),
                    actions);
    }
    return true;
}

Router::Impl::Terms Router::Impl::termsOf(const CallerMessage &message) const
{
    Terms terms;
    terms.hasToken = sentBindingToken(message);
    if (const auto *request = std::get_if<RequestMessage>(&message)) {
        terms.contract = planner.configuration()->findService(request->service)->findContract(request->kind);
        terms.idempotent = terms.contract->idempotent;
    }
    return terms;
}

bool Router::Impl::cancelWaiting(const Incoming &incoming, RouteActions &actions)
{
    if (!std::holds_alternative<CancelMessage>(incoming.message) || incoming.forwarded) {
        return false;
    }
    const PendingKey key = keyOf(incoming.message, incoming.path.endpoint);
    const PendingRequest *entry = pending.find(key);
    if (!entry || !entry->retryScheduled) {
        return false;
    }
    giveUp(key, UnknownReason::Cancelled, actions);
    return true;
}

bool Router::Impl::followRequest(Incoming &incoming, RouteActions &actions)
{
    if (!std::holds_alternative<CancelMessage>(incoming.message) || incoming.forwarded) {
        return false;
    }
    const PendingRequest *entry = pending.find(keyOf(incoming.message, incoming.path.endpoint));
    if (!entry) {
        return false;
    }
    const bool here = entry->host == planner.view()->self;
    emit(std::move(incoming.message), incoming.path, 0,
         here ? Route(RouteHere{ entry->pool }) : Route(RouteToHost{ entry->pool, entry->host }), actions);
    return true;
}

void Router::Impl::route(Incoming &incoming, const Terms &terms, TimePoint now, RouteActions &actions)
{
    const RequestId id = requestIdOf(incoming.message);
    const auto &token = tokenOf(incoming.message);
    const bool bound = token && token->binds() && !terms.idempotent;
    const Route found =
        planner.plan({ serviceOf(incoming.message), id.flow, id.sequence, token, bound, incoming.forwarded }, now);
    std::visit(Visitor{
                   [&](const NoRoute &) { refuse(incoming, terms, NotRunReason::NoTarget, Milliseconds(0), actions); },
                   [&](const BoundDispatcherLost &) { replyUnknown(incoming, UnknownReason::DispatcherLost, actions); },
                   [&](const auto &way) {
                       if (!bound && !incoming.forwarded && shed(incoming, terms, way.pool, now, actions)) {
                           return;
                       }
                       send(incoming, terms, found, now, actions);
                   },
               },
               found);
}

bool Router::Impl::shed(const Incoming &incoming, const Terms &terms, const PoolId &pool, TimePoint now,
                        RouteActions &actions)
{
    if (!terms.contract || !mayRefuse(incoming, terms)) {
        return false;
    }
    const Milliseconds retryAfter = shedding.remainingShedTime(pool, terms.contract->urgency, now);
    if (retryAfter.count() == 0) {
        return false;
    }
    replyNotRun(incoming, NotRunReason::Overload, retryAfter, actions);
    return true;
}

void Router::Impl::send(Incoming &incoming, const Terms &terms, const Route &route, TimePoint now,
                        RouteActions &actions)
{
    const auto *there = std::get_if<RouteToHost>(&route);
    if (dropsToken(route)) {
        dropToken(incoming.message);
    }
    if (there && incoming.hops >= MaxHops) {
        sendAtLastHop(incoming, terms, there->pool, actions);
        return;
    }
    if (!incoming.forwarded && expectsReply(incoming.message)) {
        limitRemaining(incoming.message, terms.contract);
        if (!pending.hasRoom() && !pending.find(keyOf(incoming.message, incoming.path.endpoint))) {
            refuse(incoming, terms, NotRunReason::Overload, Milliseconds(0), actions);
            return;
        }
        remember(incoming, terms, route, now);
    }
    emit(std::move(incoming.message), incoming.path, incoming.hops, route, actions);
}

void Router::Impl::sendAtLastHop(Incoming &incoming, const Terms &terms, const PoolId &pool, RouteActions &actions)
{
    const bool bound = !terms.idempotent && terms.hasToken;
    if (bound || pool.zone != planner.view()->zone) {
        refuse(incoming, terms, NotRunReason::TokenRequired, Milliseconds(0), actions);
        return;
    }
    ++status.dispatchedLocally;
    actions.emplace_back(DispatchLocally{ pool, std::move(incoming.message), incoming.path, incoming.hops });
}

void Router::Impl::remember(const Incoming &incoming, const Terms &terms, const Route &route, TimePoint now)
{
    const PendingKey key = keyOf(incoming.message, incoming.path.endpoint);
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    const PendingRequest *earlier = pending.find(key);
    PendingRequest entry;
    entry.deadline = now + remainingOf(incoming.message);
    if (earlier && !request) {
        // The repeats of a renewal must not put off the reply to the first one.
        entry.deadline = std::min(entry.deadline, earlier->deadline);
    }
    entry.due = entry.deadline + DeadlineGrace;
    const auto *there = std::get_if<RouteToHost>(&route);
    entry.host = there ? there->host : planner.view()->self;
    entry.pool = there ? there->pool : std::get<RouteHere>(route).pool;
    entry.feed = terms.contract && terms.contract->occupancy == Occupancy::Connection;
    entry.tokenBound = !terms.idempotent && terms.hasToken;
    entry.position = request ? request->resumeFrom : 0;
    // An earlier attempt may have reached another dispatcher, which keeps its own records.
    entry.mayHaveRun = terms.idempotent && (earlier || (request && request->attempt > 0));
    if (terms.idempotent) {
        entry.message = std::make_unique<CallerMessage>(incoming.message);
    }
    pending.put(key, std::move(entry));
}

void Router::Impl::emit(CallerMessage message, const ReturnPath &path, std::uint8_t hops, const Route &route,
                        RouteActions &actions)
{
    if (const auto *there = std::get_if<RouteToHost>(&route)) {
        ++status.forwarded;
        actions.emplace_back(
            ForwardToHost{ there->host, std::move(message), path, static_cast<std::uint8_t>(hops + 1) });
    } else {
        ++status.dispatchedLocally;
        actions.emplace_back(DispatchLocally{ std::get<RouteHere>(route).pool, std::move(message), path, hops });
    }
}

bool Router::Impl::mayRefuse(const Incoming &incoming, const Terms &terms)
{
    if (!terms.idempotent) {
        return !terms.hasToken;
    }
    // Idempotent work counts as not run only on its first arrival at its first ingress.
    const auto *request = std::get_if<RequestMessage>(&incoming.message);
    return !incoming.forwarded && (!request || request->attempt == 0)
        && !pending.find(keyOf(incoming.message, incoming.path.endpoint));
}

void Router::Impl::refuse(const Incoming &incoming, const Terms &terms, NotRunReason reason, Milliseconds retryAfter,
                          RouteActions &actions)
{
    if (mayRefuse(incoming, terms)) {
        replyNotRun(incoming, reason, retryAfter, actions);
    } else {
        replyUnknown(incoming, UnknownReason::DispatcherLost, actions);
    }
}

void Router::Impl::replyNotRun(const Incoming &incoming, NotRunReason reason, Milliseconds retryAfter,
                               RouteActions &actions)
{
    ++status.refused;
    const CallerMessage &message = incoming.message;
    reply(
        incoming,
        NotRunMessage{ requestIdOf(message), serviceOf(message), callerOf(message), reason, retryAfter, std::nullopt },
        actions);
}

void Router::Impl::replyUnknown(const Incoming &incoming, UnknownReason reason, RouteActions &actions)
{
    ++status.unknown;
    const CallerMessage &message = incoming.message;
    reply(incoming, UnknownMessage{ requestIdOf(message), serviceOf(message), callerOf(message), reason }, actions);
}

void Router::Impl::reply(const Incoming &incoming, CallerReply reply, RouteActions &actions)
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
