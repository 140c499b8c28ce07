#include "contract/invariant.h"
#include "dispatcherimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{
/** Shorter than FlowIdleTime, so that no token is valid longer than the record of its flow exists. */
constexpr std::chrono::seconds TokenValidity{ 60 };
/** Longest time that the network may delay a duplicate, rounded up to the resolution of the flow table. */
constexpr std::chrono::seconds MaxDuplicateDelay{ 2 };
} // namespace

void Dispatcher::Impl::onMessage(RequestMessage message, const ReturnPath &path)
{
    const Service *service = configuration ? configuration->findService(pool.service) : nullptr;
    const Contract *contract = service != nullptr ? service->findContract(message.kind) : nullptr;
    RequestRecord *record = requests.find(message.id);
    const CompletedRequest *completed = requests.findCompleted(message.id);
    if (completed != nullptr && completed->idempotent && std::holds_alternative<UnknownMessage>(completed->reply)
        && completed->caller == message.caller) {
        requests.eraseCompleted(message.id);
        completed = nullptr;
    }
    bool idempotent = contract != nullptr && contract->idempotent;
    if (record != nullptr || completed != nullptr) {
        idempotent = record != nullptr ? record->contract.idempotent : completed->idempotent;
    }
    if ((record != nullptr || completed != nullptr) && !idempotent && message.token
        && isFromOtherProcess(*message.token)) {
        // Another process may have run the request too, so the record here does not settle its outcome.
        send(path, unknownReply(message, UnknownReason::DispatcherLost));
    } else if (completed != nullptr) {
        onDuplicate(*completed, message, path);
    } else if (record != nullptr) {
        onDuplicate(*record, message, path);
    } else if (contract == nullptr || message.service != pool.service) {
        onUnknownContract(message, path);
    } else if (idempotent) {
        onIdempotent(std::move(message), *contract, path);
    } else {
        onNonIdempotent(std::move(message), *contract, path);
    }
}

void Dispatcher::Impl::onUnknownContract(const RequestMessage &message, const ReturnPath &path)
{
    if (message.tokenRejected) {
        send(path, unknownReply(message, UnknownReason::TokenRejected));
    } else if (message.token) {
        send(path, unknownReply(message, UnknownReason::DispatcherLost));
    } else {
        const bool serviceKnown = configuration && configuration->findService(message.service) != nullptr;
        send(path, notRunReply(message, serviceKnown ? NotRunReason::UnknownKind : NotRunReason::UnknownService));
    }
}

bool Dispatcher::Impl::isFromOtherProcess(const FlowToken &token) const
{
    return !view || token.dispatcher != view->self
        || (token.incarnation != view->incarnation && !pastIncarnations_.contains(token.incarnation));
}

std::optional<UnknownReason> Dispatcher::Impl::tokenError(const RequestMessage &message) const
{
    const FlowToken &token = *message.token;
    if (token.flow != message.id.flow || token.service != pool.service) {
        return UnknownReason::TokenRejected;
    }
    if (isFromOtherProcess(token) || paused() || token.incarnation != view->incarnation || token.zone != pool.zone) {
        return UnknownReason::DispatcherLost;
    }
    const auto age = now.time_since_epoch() - token.issuedAt;
    if (age < std::chrono::milliseconds(-1) || age > TokenValidity) {
        return UnknownReason::TokenExpired;
    }
    return std::nullopt;
}

void Dispatcher::Impl::onNonIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path)
{
    if (message.tokenRejected) {
        send(path, unknownReply(message, UnknownReason::TokenRejected));
        return;
    }
    if (!message.token || !message.token->bindsToDispatcher()) {
        onMissingToken(message, path);
        return;
    }
    if (const auto error = tokenError(message)) {
        send(path, unknownReply(message, *error));
        return;
    }
    Flow *flow = flows.findOrInsert(message.id.flow, now);
    if (flow == nullptr || flow->activeRequests == Flow::MaxActiveRequests) {
        // The refusal cannot be recorded, so a late duplicate could still run: the outcome is unknown, not notRun.
        send(path, unknownReply(message, UnknownReason::TokenExpired));
        return;
    }
    if (replyFromWindow(*flow, message, false, path)) {
        return;
    }
    flow->established = 1;
    flow->tokenBound = 1;
    applyTokenTarget(*flow, message.token, message.id.sequence);
    admit(addRecord(std::move(message), contract, flow, path));
}

void Dispatcher::Impl::onMissingToken(const RequestMessage &message, const ReturnPath &path)
{
    Flow *flow = flows.find(message.id.flow);
    if (flow != nullptr && flow->window.stateOf(message.id.sequence) != SequenceState::Unseen
        && replyFromWindow(*flow, message, false, path)) {
        return;
    }
    NotRunMessage reply = notRunReply(message, canIssueTokens() ? NotRunReason::TokenRequired : NotRunReason::Moved);
    flow = flow != nullptr ? flow : flows.findOrInsert(message.id.flow, now);
    if (flow != nullptr) {
        applyTokenTarget(*flow, message.token, message.id.sequence);
        reply.token = issueToken(message.id.flow);
    }
    send(path, reply);
}

void Dispatcher::Impl::onIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path)
{
    const auto other = otherDispatcher();
    if (other) {
        actions->emplace_back(ForwardToDispatcher{ *other, path, std::move(message) });
        return;
    }
    if (message.tokenRejected || (message.token && message.token->flow != message.id.flow)) {
        message.token.reset();
    }
    Flow *flow = flows.findOrInsert(message.id.flow, now);
    if (flow == nullptr || flow->activeRequests == Flow::MaxActiveRequests) {
        refuse(addRecord(std::move(message), contract, nullptr, path), NotRunReason::QueueFull);
        return;
    }
    if (replyFromWindow(*flow, message, true, path)) {
        return;
    }
    const bool callerReturned = message.token || !flow->window.empty();
    flow->established = flow->established || callerReturned ? 1 : 0;
    applyTokenTarget(*flow, message.token, message.id.sequence);
    admit(addRecord(std::move(message), contract, flow, path));
}

bool Dispatcher::Impl::replyFromWindow(const Flow &flow, const RequestMessage &message, bool idempotent,
                                       const ReturnPath &path)
{
    switch (flow.window.stateOf(message.id.sequence)) {
    case SequenceState::Unseen:
        return false;
    case SequenceState::Seen:
        if (!idempotent) {
            send(path, unknownReply(message, UnknownReason::AnswerDropped));
        }
        return !idempotent;
    case SequenceState::Refused:
        // The original reason was dropped with the record; by now the deadline of the request has passed.
        send(path, notRunReply(message, NotRunReason::DeadlinePassed));
        return true;
    case SequenceState::BelowWindow:
        send(path, unknownReply(message, UnknownReason::TokenExpired));
        return true;
    }
    return false;
}

void Dispatcher::Impl::onDuplicate(const CompletedRequest &completed, const RequestMessage &message,
                                   const ReturnPath &path)
{
    ++counters.duplicates;
    // An answer never goes to another caller, even if that caller uses the same request id.
    if (completed.caller != message.caller) {
        send(path, unknownReply(message, UnknownReason::TokenRejected));
    } else {
        send(path, completed.reply);
    }
}

void Dispatcher::Impl::onDuplicate(RequestRecord &record, const RequestMessage &message, const ReturnPath &path)
{
    ++counters.duplicates;
    if (record.request.caller != message.caller) {
        // An answer never goes to another caller, even if that caller uses the same request id.
        send(path, unknownReply(message, UnknownReason::TokenRejected));
    } else {
        record.addReturnPath(path);
        // Only a later attempt shows that the caller missed positions; a delayed copy of an earlier attempt does not.
        const bool missed = message.attempt > record.request.attempt && message.resumeFrom < record.lastPosition;
        if (record.isFeed() && record.state == RequestState::Dispatched && missed) {
            restartFeed(record, message);
        }
    }
}

void Dispatcher::Impl::restartFeed(RequestRecord &feed, const RequestMessage &message)
{
    actions->emplace_back(CancelAtTarget{ feed.target, feed.request.id });
    endAttempt(feed, TargetOutcome::Cancelled);
    feed.request.attempt = message.attempt;
    feed.lastPosition = message.resumeFrom;
    feed.restarted = true;
    place(feed);
}

void Dispatcher::Impl::applyTokenTarget(Flow &flow, const std::optional<FlowToken> &token, std::uint64_t sequence)
{
    if (!token) {
        return;
    }
    // A token of another process can be more recent than the flow here: a duplicate of the first packet may have
    // created the flow, or another balancer may have moved it while it dispatched the pool. A delayed duplicate with an
    // outdated token arrives while the flow is in use and does not have the newest sequence number.
    const bool foreign = isFromOtherProcess(*token) || token->incarnation != view->incarnation;
    const bool isNewest = sequence == 0 ? flow.confirmed == 0 : flow.window.isNewest(sequence);
    const bool useToken = foreign && (isNewest || flows.idleFor(flow, now) >= MaxDuplicateDelay);
    if ((useToken || !targetOf(flow)) && targets.canAnswer(token->target)) {
        setTarget(flow, token->target);
    }
    flow.confirmed = !foreign || (flow.confirmed != 0 && !useToken) ? 1 : 0;
}

RequestRecord &Dispatcher::Impl::addRecord(RequestMessage message, const Contract &contract, Flow *flow,
                                           const ReturnPath &path)
{
    auto entry = std::make_unique<RequestRecord>();
    const Milliseconds remaining =
        message.remaining.count() > 0 ? std::min(message.remaining, contract.deadline) : contract.deadline;
    entry->deadline = now + remaining;
    entry->lastPosition = message.resumeFrom;
    entry->contract = contract;
    entry->addReturnPath(path);
    if (flow != nullptr) {
        // Only an idempotent request is recorded a second time; refusing it now does not prove that it never ran.
        entry->mayHaveRun = flow->window.stateOf(message.id.sequence) == SequenceState::Seen;
        flow->window.markSeen(message.id.sequence);
        flow->activeRequests = (flow->activeRequests + 1U) & Flow::MaxActiveRequests;
        flows.touch(*flow, now);
    }
    entry->countedInFlow = flow != nullptr;
    entry->request = std::move(message);
    return requests.add(std::move(entry));
}

void Dispatcher::Impl::onMessage(CancelMessage message, const ReturnPath & /*path*/)
{
    RequestRecord *record = requests.find(message.id);
    if (record != nullptr && record->request.caller == message.caller) {
        cancel(*record);
        dispatchQueued();
    }
}

void Dispatcher::Impl::cancel(RequestRecord &record)
{
    if (record.state == RequestState::Queued) {
        queue.remove(record.request.id);
        removeFromQueue(record);
        refuse(record, NotRunReason::Cancelled);
    } else if (record.state == RequestState::Dispatched) {
        actions->emplace_back(CancelAtTarget{ record.target, record.request.id });
        endAttempt(record, TargetOutcome::Cancelled);
        finishUnknown(record, UnknownReason::Cancelled);
    }
}

void Dispatcher::Impl::onMessage(RenewMessage message, const ReturnPath &path)
{
    if (const auto other = otherDispatcher()) {
        actions->emplace_back(ForwardToDispatcher{ *other, path, message });
        return;
    }
    if (!canIssueTokens()) {
        return;
    }
    if (Flow *flow = flows.findOrInsert(message.flow, now)) {
        flow->established = flow->established || (message.token && message.token->flow == message.flow) ? 1 : 0;
        applyTokenTarget(*flow, message.token, 0);
    }
    const auto token = issueToken(message.flow);
    if (token && token->bindsToDispatcher()) {
        send(path, RenewedMessage{ message.flow, message.service, message.caller, *token });
    }
}

void Dispatcher::Impl::onMessage(CloseMessage message, const ReturnPath & /*path*/)
{
    Flow *flow = flows.find(message.flow);
    if (flow == nullptr) {
        return;
    }
    if (flow->activeRequests > 0) {
        const auto ofFlow = [&](const RequestRecord &record) {
            return record.request.id.flow == message.flow && record.request.caller == message.caller;
        };
        for (const RequestId id : requests.findActive(ofFlow)) {
            cancel(*requests.find(id));
        }
    }
    // The flow is kept until its idle time is over; without it a late duplicate would be taken for a new request.
    flow->established = 0;
    dispatchQueued();
}

} // namespace poplarroad
