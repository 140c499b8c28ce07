#include "contract/invariant.h"
#include "dispatcherimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{
/** Shorter than the idle time of a flow, so that a token never outlives the record of its flow. */
constexpr std::chrono::seconds TokenValidity{ 60 };
/** Longest time that the network delays a duplicate, rounded up to the resolution of the flow table. */
constexpr std::chrono::seconds MaxDuplicateDelay{ 2 };
} // namespace

void Dispatcher::Impl::onMessage(RequestMessage message, const ReturnPath &path)
{
    const Service *service = configuration ? configuration->findService(pool.service) : nullptr;
    const Contract *contract = service != nullptr ? service->findContract(message.kind) : nullptr;
    RequestRecord *known = requests.find(message.id);
    const CompletedRequest *completed = requests.findCompleted(message.id);
    if (completed != nullptr && completed->idempotent && std::holds_alternative<UnknownMessage>(completed->reply)
        && completed->caller == message.caller) {
        requests.eraseCompleted(message.id);
        completed = nullptr;
    }
    bool idempotent = contract != nullptr && contract->idempotent;
    if (known != nullptr || completed != nullptr) {
        idempotent = known != nullptr ? known->contract.idempotent : completed->idempotent;
    }
    if ((known != nullptr || completed != nullptr) && !idempotent && message.token
        && isFromOtherProcess(*message.token)) {
        // Another process may have run the request, so the record here says nothing certain.
        send(path, unknown(message, UnknownReason::DispatcherLost));
    } else if (completed != nullptr) {
        onDuplicate(*completed, message, path);
    } else if (known != nullptr) {
        onDuplicate(*known, message, path);
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
        send(path, unknown(message, UnknownReason::TokenRejected));
    } else if (message.token) {
        send(path, unknown(message, UnknownReason::DispatcherLost));
    } else {
        const bool known = configuration && configuration->findService(message.service) != nullptr;
        send(path, notRun(message, known ? NotRunReason::UnknownKind : NotRunReason::UnknownService));
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
        send(path, unknown(message, UnknownReason::TokenRejected));
        return;
    }
    if (!message.token || !message.token->binds()) {
        onMissingToken(message, path);
        return;
    }
    if (const auto fault = tokenError(message)) {
        send(path, unknown(message, *fault));
        return;
    }
    Flow *flow = flows.findOrInsert(message.id.flow, now);
    if (flow == nullptr || flow->active == Flow::MaxActive) {
        // Without a record of the refusal a late duplicate could still run, so this is no notRun.
        send(path, unknown(message, UnknownReason::TokenExpired));
        return;
    }
    if (replyFromWindow(*flow, message, false, path)) {
        return;
    }
    flow->established = 1;
    flow->bound = 1;
    applyTokenTarget(*flow, message.token, message.id.sequence);
    admit(record(std::move(message), contract, flow, path));
}

void Dispatcher::Impl::onMissingToken(const RequestMessage &message, const ReturnPath &path)
{
    Flow *flow = flows.find(message.id.flow);
    if (flow != nullptr && flow->window.stateOf(message.id.sequence) != SequenceState::Fresh
        && replyFromWindow(*flow, message, false, path)) {
        return;
    }
    NotRunMessage reply = notRun(message, canIssueTokens() ? NotRunReason::TokenRequired : NotRunReason::Moved);
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
    if (flow == nullptr || flow->active == Flow::MaxActive) {
        refuse(record(std::move(message), contract, nullptr, path), NotRunReason::QueueFull);
        return;
    }
    if (replyFromWindow(*flow, message, true, path)) {
        return;
    }
    const bool returning = message.token || !flow->window.empty();
    flow->established = flow->established || returning ? 1 : 0;
    applyTokenTarget(*flow, message.token, message.id.sequence);
    admit(record(std::move(message), contract, flow, path));
}

bool Dispatcher::Impl::replyFromWindow(const Flow &flow, const RequestMessage &message, bool idempotent,
                                       const ReturnPath &path)
{
    switch (flow.window.stateOf(message.id.sequence)) {
    case SequenceState::Fresh:
        return false;
    case SequenceState::Seen:
        if (!idempotent) {
            send(path, unknown(message, UnknownReason::AnswerDropped));
        }
        return !idempotent;
    case SequenceState::Refused:
        // The reason went with the record; its deadline is certainly over by now.
        send(path, notRun(message, NotRunReason::DeadlinePassed));
        return true;
    case SequenceState::BelowWindow:
        send(path, unknown(message, UnknownReason::TokenExpired));
        return true;
    }
    return false;
}

void Dispatcher::Impl::onDuplicate(const CompletedRequest &completed, const RequestMessage &message,
                                   const ReturnPath &path)
{
    ++counters.duplicates;
    // An answer never goes to another caller, whatever number that caller uses.
    if (completed.caller != message.caller) {
        send(path, unknown(message, UnknownReason::TokenRejected));
    } else {
        send(path, completed.reply);
    }
}

void Dispatcher::Impl::onDuplicate(RequestRecord &known, const RequestMessage &message, const ReturnPath &path)
{
    ++counters.duplicates;
    if (known.request.caller != message.caller) {
        // An answer never goes to another caller, whatever number that caller uses.
        send(path, unknown(message, UnknownReason::TokenRejected));
    } else {
        known.addReturnPath(path);
        // Only a later attempt says that the caller missed positions; a late copy of an earlier one does not.
        const bool missed = message.attempt > known.request.attempt && message.resumeFrom < known.lastPosition;
        if (known.isFeed() && known.state == RequestState::Dispatched && missed) {
            restartFeed(known, message);
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
    // The flow may have been placed here by a duplicate of its first packet, or may have moved while another balancer
    // dispatched the pool. A late duplicate with an older token arrives while the flow is in use here, and its sequence
    // number is one that the flow has had.
    const bool foreign = isFromOtherProcess(*token) || token->incarnation != view->incarnation;
    const bool fromNow = sequence == 0 ? flow.confirmed == 0 : flow.window.isNewest(sequence);
    const bool follows = foreign && (fromNow || flows.idleFor(flow, now) >= MaxDuplicateDelay);
    if ((follows || !targetOf(flow)) && targets.canAnswer(token->target)) {
        setTarget(flow, token->target);
    }
    flow.confirmed = !foreign || (flow.confirmed != 0 && !follows) ? 1 : 0;
}

RequestRecord &Dispatcher::Impl::record(RequestMessage message, const Contract &contract, Flow *flow,
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
        // Only an idempotent request is recorded again; a refusal of it now is no proof that it never ran.
        entry->mayHaveRun = flow->window.stateOf(message.id.sequence) == SequenceState::Seen;
        flow->window.markSeen(message.id.sequence);
        flow->active = (flow->active + 1U) & Flow::MaxActive;
        flows.touch(*flow, now);
    }
    entry->countedInFlow = flow != nullptr;
    entry->request = std::move(message);
    return requests.add(std::move(entry));
}

void Dispatcher::Impl::onMessage(CancelMessage message, const ReturnPath & /*path*/)
{
    RequestRecord *known = requests.find(message.id);
    if (known != nullptr && known->request.caller == message.caller) {
        cancel(*known);
        dispatchQueued();
    }
}

void Dispatcher::Impl::cancel(RequestRecord &known)
{
    if (known.state == RequestState::Queued) {
        queue.remove(known.request.id);
        removeFromQueue(known);
        refuse(known, NotRunReason::Cancelled);
    } else if (known.state == RequestState::Dispatched) {
        actions->emplace_back(CancelAtTarget{ known.target, known.request.id });
        endAttempt(known, TargetOutcome::Cancelled);
        finishUnknown(known, UnknownReason::Cancelled);
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
    if (token && token->binds()) {
        send(path, RenewedMessage{ message.flow, message.service, message.caller, *token });
    }
}

void Dispatcher::Impl::onMessage(CloseMessage message, const ReturnPath & /*path*/)
{
    Flow *flow = flows.find(message.flow);
    if (flow == nullptr) {
        return;
    }
    if (flow->active > 0) {
        const auto ofFlow = [&](const RequestRecord &known) {
            return known.request.id.flow == message.flow && known.request.caller == message.caller;
        };
        for (const RequestId id : requests.findActive(ofFlow)) {
            cancel(*requests.find(id));
        }
    }
    // The record stays until it is idle for long enough, or a late duplicate would be taken for a fresh request.
    flow->established = 0;
    dispatchQueued();
}

} // namespace poplarroad
