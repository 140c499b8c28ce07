#include "poplarroad/visitor.h"
#include "routemessages.h"
#include "routerimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** A feed is closed after this long without an answer; its caller resumes it with a new request. */
constexpr Milliseconds FeedIdleTimeout{ 60000 };
constexpr std::uint32_t MaxRetries = 5;

bool isDispatcherLost(const CallerReply &reply)
{
    const auto *unknown = std::get_if<UnknownMessage>(&reply);
    return unknown && unknown->reason == UnknownReason::DispatcherLost;
}

/** @return whether the reply refuses a copy sent without a token; it is no outcome of the copy with the token */
bool concernsTokenlessCopy(const PendingRequest &entry, const CallerReply &reply)
{
    const auto *notRun = std::get_if<NotRunMessage>(&reply);
    return entry.tokenBound && notRun && notRun->reason == NotRunReason::TokenRequired;
}

/** @return whether the dispatcher gives up the pool or was paused, so that another one may accept the request */
bool isDispatcherLeaving(const CallerReply &reply)
{
    const auto *notRun = std::get_if<NotRunMessage>(&reply);
    return notRun
        && (notRun->reason == NotRunReason::Moved || notRun->reason == NotRunReason::Draining
            || notRun->reason == NotRunReason::Paused);
}

} // namespace

void Router::Impl::onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions)
{
    const PendingKey key = pendingKeyOf(reply, path.endpoint);
    PendingRequest *entry = pending.find(key);
    if (!entry || !planner.view() || path.ingress != planner.view()->self || concernsTokenlessCopy(*entry, reply)) {
        ++status.unmatchedReplies;
        return;
    }
    if (auto *answer = std::get_if<AnswerMessage>(&reply)) {
        onAnswer(key, *entry, std::move(*answer), now, actions);
    } else if (entry->retryScheduled && !std::holds_alternative<RenewedMessage>(reply)) {
        // A retry is already scheduled; the reply belongs to the attempt before it.
        ++status.unmatchedReplies;
    } else if (entry->message && (isDispatcherLost(reply) || isDispatcherLeaving(reply))) {
        entry->mayHaveRun = entry->mayHaveRun || isDispatcherLost(reply);
        retryOrDeliver(key, *entry, std::move(reply), now, actions);
    } else {
        deliverReply(key, *entry, std::move(reply), actions);
    }
}

void Router::Impl::onAnswer(const PendingKey &key, PendingRequest &entry, AnswerMessage answer, TimePoint now,
                            RouteActions &actions)
{
    // The last answer of a feed may repeat the last position; the caller needs it to resume the feed.
    if (entry.feed && answer.position > 0 && answer.position <= entry.position && !answer.last) {
        ++status.unmatchedReplies;
        return;
    }
    const bool last = answer.last;
    const bool endsHere = entry.feed && endingFeeds_ && !last;
    answer.last = last || endsHere;
    entry.position = std::max(entry.position, answer.position);
    entry.mayHaveRun = true;
    actions.emplace_back(ReplyToLocalCaller{ key.endpoint, std::move(answer) });
    if (last) {
        pending.erase(key);
    } else if (endsHere) {
        cancelFeed(key, actions);
    } else if (entry.feed && !entry.retryScheduled) {
        entry.deadline = now + FeedIdleTimeout;
        pending.schedule(key, entry, entry.deadline);
    }
}

void Router::Impl::endFeeds(RouteActions &actions)
{
    endingFeeds_ = true;
    for (const PendingKey &key : pending.feedsWithPosition()) {
        AnswerMessage end;
        end.id = key.id;
        end.service = key.service;
        end.caller = key.caller;
        end.position = pending.find(key)->position;
        actions.emplace_back(ReplyToLocalCaller{ key.endpoint, std::move(end) });
        cancelFeed(key, actions);
    }
}

void Router::Impl::cancelFeed(PendingKey key, RouteActions &actions)
{
    const PendingRequest &entry = *pending.find(key);
    if (!entry.retryScheduled) {
        CancelMessage cancel;
        cancel.id = key.id;
        cancel.service = key.service;
        cancel.caller = key.caller;
        const bool isLocal = entry.host == planner.view()->self;
        emit(cancel, { planner.view()->self, key.endpoint }, 0,
             isLocal ? Route(LocalRoute{ entry.pool }) : Route(RemoteRoute{ entry.pool, entry.host }), actions);
    }
    pending.erase(key);
}

void Router::Impl::deliverReply(const PendingKey &key, const PendingRequest &entry, CallerReply reply,
                                RouteActions &actions)
{
    if (std::holds_alternative<NotRunMessage>(reply) && entry.mayHaveRun) {
        completeAsUnknown(key, UnknownReason::DispatcherLost, actions);
        return;
    }
    status.refused += std::holds_alternative<NotRunMessage>(reply) ? 1 : 0;
    status.unknown += std::holds_alternative<UnknownMessage>(reply) ? 1 : 0;
    actions.emplace_back(ReplyToLocalCaller{ key.endpoint, std::move(reply) });
    pending.erase(key);
}

void Router::Impl::onHostLost(const HostAddress &host, TimePoint now, RouteActions &actions)
{
    planner.onHostLost(host, now);
    for (const PendingKey &key : pending.requestsSentTo(host)) {
        PendingRequest &entry = *pending.find(key);
        if (entry.message) {
            entry.mayHaveRun = true;
            retryOrDeliver(key, entry, UnknownMessage{ key.id, key.service, key.caller, UnknownReason::DispatcherLost },
                           now, actions);
        } else {
            completeAsUnknown(key, UnknownReason::DispatcherLost, actions);
        }
    }
}

void Router::Impl::retryOrDeliver(const PendingKey &key, PendingRequest &entry, CallerReply outcome, TimePoint now,
                                  RouteActions &actions)
{
    const double randomUnit = static_cast<double>(random_() >> 11) * 0x1p-53;
    const TimePoint retryAt = now + RetryBudget::backoffDelay(entry.retries + 1, randomUnit);
    if (entry.retries >= MaxRetries || retryAt >= entry.deadline || !retryBudgets_[key.service].tryConsume(now)) {
        deliverReply(key, entry, std::move(outcome), actions);
        return;
    }
    ++entry.retries;
    entry.retryScheduled = true;
    pending.schedule(key, entry, retryAt);
}

void Router::Impl::onTimer(TimePoint now, RouteActions &actions)
{
    while (const auto key = pending.popDue(now)) {
        PendingRequest &entry = *pending.find(*key);
        if (entry.retryScheduled && now < entry.deadline) {
            resend(*key, entry, now, actions);
        } else {
            completeAsUnknown(*key, UnknownReason::DeadlinePassed, actions);
        }
    }
}

void Router::Impl::resend(const PendingKey &key, PendingRequest &entry, TimePoint now, RouteActions &actions)
{
    ++status.retried;
    entry.retryScheduled = false;
    pending.schedule(key, entry, entry.deadline + DeadlineGrace);
    CallerMessage message = *entry.message;
    if (auto *request = std::get_if<RequestMessage>(&message)) {
        const auto remaining = std::chrono::ceil<Milliseconds>(entry.deadline - now);
        request->remaining = std::min(request->remaining, remaining);
        request->attempt += entry.retries;
        request->resumeFrom = std::max(request->resumeFrom, entry.position);
    }
    const Route route =
        planner.plan({ key.service, key.id.flow, key.id.sequence, tokenOf(message), false, false }, now);
    std::visit(Visitor{
                   [&](const LocalRoute &local) {
                       entry.host = planner.view()->self;
                       entry.pool = local.pool;
                   },
                   [&](const RemoteRoute &remote) {
                       entry.host = remote.host;
                       entry.pool = remote.pool;
                   },
                   [&](const auto &) { completeAsUnknown(key, UnknownReason::DispatcherLost, actions); },
               },
               route);
    if (pending.find(key)) {
        if (mustDropToken(route)) {
            dropToken(message);
        }
        emit(std::move(message), { planner.view()->self, key.endpoint }, 0, route, actions);
    }
}

void Router::Impl::completeAsUnknown(PendingKey key, UnknownReason reason, RouteActions &actions)
{
    ++status.unknown;
    pending.erase(key);
    actions.emplace_back(ReplyToLocalCaller{ key.endpoint, UnknownMessage{ key.id, key.service, key.caller, reason } });
}

} // namespace poplarroad
