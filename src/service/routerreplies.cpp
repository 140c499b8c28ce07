#include "poplarroad/visitor.h"
#include "routemessages.h"
#include "routerimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** A feed without an answer for this long has ended; its caller resumes it with a new request. */
constexpr Milliseconds FeedLifetime{ 60000 };
constexpr std::uint32_t MostRetries = 5;

bool isLost(const CallerReply &reply)
{
    const auto *unknown = std::get_if<UnknownMessage>(&reply);
    return unknown && unknown->reason == UnknownReason::DispatcherLost;
}

/** @return whether the verdict is about a copy that was sent without a token; it says nothing of the bound one */
bool concernsTokenlessCopy(const PendingRequest &entry, const CallerReply &reply)
{
    const auto *notRun = std::get_if<NotRunMessage>(&reply);
    return entry.tokenBound && notRun && notRun->reason == NotRunReason::TokenRequired;
}

/** @return whether the dispatcher refused because it stops, so that another one may accept */
bool isLeaving(const CallerReply &reply)
{
    const auto *notRun = std::get_if<NotRunMessage>(&reply);
    return notRun
        && (notRun->reason == NotRunReason::Moved || notRun->reason == NotRunReason::Draining
            || notRun->reason == NotRunReason::Paused);
}

} // namespace

void Router::Impl::onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions)
{
    const PendingKey key = keyOf(reply, path.endpoint);
    PendingRequest *entry = pending.find(key);
    if (!entry || !planner.view() || path.ingress != planner.view()->self || concernsTokenlessCopy(*entry, reply)) {
        ++status.unmatchedReplies;
        return;
    }
    if (auto *answer = std::get_if<AnswerMessage>(&reply)) {
        onAnswer(key, *entry, std::move(*answer), now, actions);
    } else if (entry->retryScheduled && !std::holds_alternative<RenewedMessage>(reply)) {
        // A retry is already planned; the verdict belongs to the attempt before it.
        ++status.unmatchedReplies;
    } else if (entry->message && (isLost(reply) || isLeaving(reply))) {
        entry->mayHaveRun = entry->mayHaveRun || isLost(reply);
        retryOrGiveUp(key, *entry, std::move(reply), now, actions);
    } else {
        passOn(key, *entry, std::move(reply), actions);
    }
}

void Router::Impl::onAnswer(const PendingKey &key, PendingRequest &entry, AnswerMessage answer, TimePoint now,
                            RouteActions &actions)
{
    // The end of a feed may repeat the last position; it is the caller's sign to resume.
    if (entry.feed && answer.position > 0 && answer.position <= entry.position && !answer.last) {
        ++status.unmatchedReplies;
        return;
    }
    const bool last = answer.last;
    const bool ends = entry.feed && endsFeeds_ && !last;
    answer.last = last || ends;
    entry.position = std::max(entry.position, answer.position);
    entry.mayHaveRun = true;
    actions.emplace_back(ReplyToLocalCaller{ key.endpoint, std::move(answer) });
    if (last) {
        pending.erase(key);
    } else if (ends) {
        leaveFeed(key, actions);
    } else if (entry.feed && !entry.retryScheduled) {
        entry.deadline = now + FeedLifetime;
        pending.schedule(key, entry, entry.deadline);
    }
}

void Router::Impl::endFeeds(RouteActions &actions)
{
    endsFeeds_ = true;
    for (const PendingKey &key : pending.feedsWithPosition()) {
        AnswerMessage end;
        end.id = key.id;
        end.service = key.service;
        end.caller = key.caller;
        end.position = pending.find(key)->position;
        actions.emplace_back(ReplyToLocalCaller{ key.endpoint, std::move(end) });
        leaveFeed(key, actions);
    }
}

void Router::Impl::leaveFeed(PendingKey key, RouteActions &actions)
{
    const PendingRequest &entry = *pending.find(key);
    if (!entry.retryScheduled) {
        CancelMessage cancel;
        cancel.id = key.id;
        cancel.service = key.service;
        cancel.caller = key.caller;
        const bool here = entry.host == planner.view()->self;
        emit(cancel, { planner.view()->self, key.endpoint }, 0,
             here ? Route(RouteHere{ entry.pool }) : Route(RouteToHost{ entry.pool, entry.host }), actions);
    }
    pending.erase(key);
}

void Router::Impl::passOn(const PendingKey &key, const PendingRequest &entry, CallerReply reply, RouteActions &actions)
{
    if (std::holds_alternative<NotRunMessage>(reply) && entry.mayHaveRun) {
        giveUp(key, UnknownReason::DispatcherLost, actions);
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
            retryOrGiveUp(key, entry, UnknownMessage{ key.id, key.service, key.caller, UnknownReason::DispatcherLost },
                          now, actions);
        } else {
            giveUp(key, UnknownReason::DispatcherLost, actions);
        }
    }
}

void Router::Impl::retryOrGiveUp(const PendingKey &key, PendingRequest &entry, CallerReply verdict, TimePoint now,
                                 RouteActions &actions)
{
    const double unit = static_cast<double>(random_() >> 11) * 0x1p-53;
    const TimePoint at = now + RetryBudget::backoffDelay(entry.retries + 1, unit);
    if (entry.retries >= MostRetries || at >= entry.deadline || !budgets_[key.service].tryConsume(now)) {
        passOn(key, entry, std::move(verdict), actions);
        return;
    }
    ++entry.retries;
    entry.retryScheduled = true;
    pending.schedule(key, entry, at);
}

void Router::Impl::onTimer(TimePoint now, RouteActions &actions)
{
    while (const auto key = pending.popDue(now)) {
        PendingRequest &entry = *pending.find(*key);
        if (entry.retryScheduled && now < entry.deadline) {
            resend(*key, entry, now, actions);
        } else {
            giveUp(*key, UnknownReason::DeadlinePassed, actions);
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
        const auto left = std::chrono::ceil<Milliseconds>(entry.deadline - now);
        request->remaining = std::min(request->remaining, left);
        request->attempt += entry.retries;
        request->resumeFrom = std::max(request->resumeFrom, entry.position);
    }
    const Route way = planner.plan({ key.service, key.id.flow, key.id.sequence, tokenOf(message), false, false }, now);
    std::visit(Visitor{
                   [&](const RouteHere &here) {
                       entry.host = planner.view()->self;
                       entry.pool = here.pool;
                   },
                   [&](const RouteToHost &there) {
                       entry.host = there.host;
                       entry.pool = there.pool;
                   },
                   [&](const auto &) { giveUp(key, UnknownReason::DispatcherLost, actions); },
               },
               way);
    if (pending.find(key)) {
        if (dropsToken(way)) {
            dropToken(message);
        }
        emit(std::move(message), { planner.view()->self, key.endpoint }, 0, way, actions);
    }
}

void Router::Impl::giveUp(PendingKey key, UnknownReason reason, RouteActions &actions)
{
    ++status.unknown;
    pending.erase(key);
    actions.emplace_back(ReplyToLocalCaller{ key.endpoint, UnknownMessage{ key.id, key.service, key.caller, reason } });
}

} // namespace poplarroad
