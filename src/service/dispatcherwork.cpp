#include "contract/invariant.h"
#include "dispatcherimpl.h"

#include <algorithm>

namespace poplarroad
{

namespace
{
constexpr std::uint32_t MaxAttempts = 3;
} // namespace

void Dispatcher::Impl::admit(RequestRecord &record)
{
    retries.onRequest(now);
    const RequestMessage &request = record.request;
    // A leaving balancer refuses a feed, since it would have to end it at once; the ingress tries another dispatcher.
    if (leaving() ? !record.contract.idempotent || record.isFeed() : !record.contract.idempotent && otherDispatcher()) {
        refuse(record, leaving() ? NotRunReason::Draining : NotRunReason::Moved);
        return;
    }
    if (!callers.tryAcquire(request.caller, request.kind, record.contract.callerLimit)) {
        refuse(record, NotRunReason::CallerLimit);
        return;
    }
    record.countedForCaller = true;
    place(record);
    dispatchQueued();
}

void Dispatcher::Impl::place(RequestRecord &record)
{
    if (!targets.choose(record.contract.occupancy, now, record.avoid)) {
        refuse(record, record.avoid ? NotRunReason::TargetRefused : NotRunReason::NoTarget);
        return;
    }
    if (record.isFeed()) {
        if (!startFeed(record)) {
            refuse(record, NotRunReason::ConnectionLimit);
        }
        return;
    }
    const Flow *flow = flows.find(record.request.id.flow);
    auto target = flow != nullptr ? targetOf(*flow) : std::nullopt;
    const bool targetLost = target ? !targets.canAnswer(*target) : record.request.token.has_value();
    if (targetLost) {
        target = replacementTarget(record.request.id.flow);
    }
    if (target == record.avoid) {
        target.reset();
    }
    enqueue(record, target);
}

std::optional<TargetId> Dispatcher::Impl::replacementTarget(FlowId flow) const
{
    std::optional<TargetId> best;
    std::uint64_t bestWeight = 0;
    for (const TargetId target : configuration->targetsOf(pool)) {
        const std::uint64_t weight = rendezvousWeight(flow.value, target.value);
        if (targets.acceptsNewFlows(target) && (!best || weight > bestWeight)) {
            best = target;
            bestWeight = weight;
        }
    }
    return best;
}

bool Dispatcher::Impl::startFeed(RequestRecord &record)
{
    const Flow *flow = flows.find(record.request.id.flow);
    auto target = flow != nullptr ? targetOf(*flow) : std::nullopt;
    if (!target || target == record.avoid || !targets.hasRoom(*target, Occupancy::Connection)) {
        target = targets.chooseWithRoom(Occupancy::Connection, 0, now, record.avoid);
    }
    if (target) {
        dispatch(record, *target);
    }
    return target.has_value();
}

PoolCapacity Dispatcher::Impl::capacity(std::optional<TargetId> target) const
{
    PoolCapacity capacity;
    capacity.limit = targets.limit();
    capacity.inProgress = targets.inProgress();
    capacity.serviceTime = targets.serviceTime();
    const Target *declared = target ? configuration->findTarget(*target) : nullptr;
    capacity.targetLimit = declared != nullptr ? declared->slots : 0;
    return capacity;
}

void Dispatcher::Impl::enqueue(RequestRecord &record, std::optional<TargetId> target)
{
    const RequestMessage &request = record.request;
    const QueuedRequest queued{ request.id, request.kind, record.deadline, target, record.avoid };
    if (const auto refusal = queue.admit(queued, capacity(target), now)) {
        refuse(record, *refusal);
        return;
    }
    record.state = RequestState::Queued;
    record.queuedTarget = target;
    if (target) {
        targets.addQueued(*target, 1);
    }
}

void Dispatcher::Impl::removeFromQueue(RequestRecord &record)
{
    POPLARROAD_CHECK(record.state == RequestState::Queued);
    queue.remove(record.request.id);
    record.state = RequestState::Admitting;
    if (record.queuedTarget) {
        targets.addQueued(*record.queuedTarget, -1);
        record.queuedTarget.reset();
    }
}

void Dispatcher::Impl::dispatchQueued()
{
    if (queue.size() == 0) {
        return;
    }
    for (const TargetId target : targetIds_) {
        if (!targets.canAnswer(target)) {
            queue.unbind(target);
        }
    }
    const auto pickTarget = [this](const QueuedRequest &queued) -> std::optional<TargetId> {
        if (queued.target) {
            return targets.hasRoom(*queued.target, Occupancy::Slot) ? queued.target : std::nullopt;
        }
        return targets.chooseWithRoom(Occupancy::Slot, 0, now, queued.avoid);
    };
    while (const auto assigned = queue.next(pickTarget)) {
        RequestRecord &record = *requests.find(assigned->request.id);
        removeFromQueue(record);
        if (record.deadline <= now) {
            refuse(record, NotRunReason::DeadlinePassed);
        } else {
            dispatch(record, assigned->target);
        }
    }
}

void Dispatcher::Impl::dispatch(RequestRecord &record, TargetId target)
{
    POPLARROAD_CHECK(record.state == RequestState::Admitting);
    POPLARROAD_CHECK(record.contract.idempotent || !record.mayHaveRun);
    record.state = RequestState::Dispatched;
    record.target = target;
    record.dispatchedAt = now;
    ++record.attempts;
    targets.begin(target, record.contract.occupancy, now);
    const bool noDeadline = record.deadline == TimePoint::max();
    if (!noDeadline) {
        running_.emplace(record.deadline, record.request.id);
    }
    // A request that the flow's target shed may run once at another one; the flow keeps a target that can answer.
    Flow *flow = flows.find(record.request.id.flow);
    const auto currentTarget = flow != nullptr ? targetOf(*flow) : std::nullopt;
    if (flow != nullptr && (record.isFeed() || !currentTarget || !targets.canAnswer(*currentTarget))) {
        setTarget(*flow, target);
    }
    RunAtTarget run{ target, record.contract.occupancy, record.request };
    run.request.remaining = noDeadline
        ? record.contract.deadline
        : std::max(std::chrono::ceil<Milliseconds>(record.deadline - now), Milliseconds(1));
    run.request.resumeFrom = record.lastPosition;
    run.request.attempt = record.attempts - 1;
    actions->emplace_back(std::move(run));
}

void Dispatcher::Impl::endAttempt(RequestRecord &record, TargetOutcome outcome)
{
    POPLARROAD_CHECK(record.state == RequestState::Dispatched);
    running_.erase({ record.deadline, record.request.id });
    record.state = RequestState::Admitting;
    // After a loss the caller of this function knows whether the request had been sent to the target.
    record.mayHaveRun = record.mayHaveRun
        || !(outcome == TargetOutcome::Shed || outcome == TargetOutcome::Draining || outcome == TargetOutcome::Lost);
    targets.end(record.target, record.contract.occupancy, outcome,
                std::chrono::duration_cast<Microseconds>(now - record.dispatchedAt), now);
}

bool Dispatcher::Impl::retry(RequestRecord &record, RetryCost cost)
{
    const bool allowed = record.contract.idempotent || !record.mayHaveRun;
    if (!allowed || record.attempts >= MaxAttempts || record.deadline <= now
        || !targets.choose(record.contract.occupancy, now, record.target)
        || (cost == RetryCost::Charged && !retries.tryConsume(now))) {
        return false;
    }
    record.avoid = record.target;
    place(record);
    return true;
}

void Dispatcher::Impl::moveFeeds()
{
    const auto isStranded = [this](const RequestRecord &record) {
        return record.isFeed() && record.state == RequestState::Dispatched && !targets.canAnswer(record.target);
    };
    for (const RequestId id : requests.findActive(isStranded)) {
        RequestRecord &feed = *requests.find(id);
        if (!targets.chooseWithRoom(Occupancy::Connection, 0, now, feed.target)) {
            continue; // the feed stays at its target until the target ends it
        }
        actions->emplace_back(CancelAtTarget{ feed.target, id });
        endAttempt(feed, TargetOutcome::Cancelled);
        feed.avoid = feed.target;
        startFeed(feed);
    }
}

void Dispatcher::Impl::refuse(RequestRecord &record, NotRunReason reason)
{
    if (record.mayHaveRun) {
        finishUnknown(record, UnknownReason::TargetLost);
        return;
    }
    ++counters.notRun;
    if (Flow *flow = flows.find(record.request.id.flow); flow != nullptr && record.countedInFlow) {
        flow->window.markRefused(record.request.id.sequence);
    }
    NotRunMessage reply = notRunReply(record.request, reason);
    reply.token = issueToken(record.request.id.flow);
    finish(record, reply);
}

void Dispatcher::Impl::finishUnknown(RequestRecord &record, UnknownReason reason)
{
    ++counters.unknown;
    finish(record, unknownReply(record.request, reason));
}

void Dispatcher::Impl::finish(RequestRecord &record, CallerReply reply)
{
    POPLARROAD_CHECK(record.state == RequestState::Admitting);
    record.state = RequestState::Completed;
    if (record.countedForCaller) {
        callers.release(record.request.caller, record.request.kind);
    }
    Flow *flow = flows.find(record.request.id.flow);
    if (record.countedInFlow) {
        POPLARROAD_CHECK(flow != nullptr && flow->activeRequests > 0);
        flow->activeRequests = (flow->activeRequests - 1U) & Flow::MaxActiveRequests;
        flows.touch(*flow, now);
    }
    for (const ReturnPath &path : record.returnPaths) {
        send(path, reply);
    }
    requests.complete(record, std::move(reply), now);
}

void Dispatcher::Impl::send(const ReturnPath &path, CallerReply reply)
{
    actions->emplace_back(ReplyToCaller{ path, std::move(reply) });
}

std::optional<TargetId> Dispatcher::Impl::targetOf(const Flow &flow) const
{
    return flow.target == Flow::NoTarget ? std::nullopt : std::optional(targetIds_.at(flow.target));
}

void Dispatcher::Impl::setTarget(Flow &flow, TargetId target)
{
    const auto index = targetIndex_.find(target);
    if (index != targetIndex_.end()) {
        flow.target = index->second;
    }
}

std::optional<FlowToken> Dispatcher::Impl::issueToken(FlowId id)
{
    Flow *flow = flows.find(id);
    if (!view || flow == nullptr) {
        return std::nullopt;
    }
    flows.touch(*flow, now);
    auto target = targetOf(*flow);
    const bool targetAnswers = target && targets.canAnswer(*target);
    if (!canIssueTokens() && !targetAnswers) {
        return std::nullopt;
    }
    if (!targetAnswers) {
        target = targets.choose(Occupancy::Slot, now);
    }
    FlowToken token;
    token.flow = id;
    token.service = pool.service;
    token.zone = pool.zone;
    token.target = target.value_or(TargetId{});
    token.dispatcher = view->self;
    token.incarnation = canIssueTokens() ? view->incarnation : Incarnation{};
    token.issuedAt = std::chrono::floor<Milliseconds>(now.time_since_epoch());
    return token;
}

NotRunMessage Dispatcher::Impl::notRunReply(const RequestMessage &message, NotRunReason reason) const
{
    NotRunMessage reply{ message.id, message.service, message.caller, reason, Milliseconds(0), std::nullopt };
    if (reason == NotRunReason::QueueFull || reason == NotRunReason::DeadlineInfeasible) {
        const auto wait =
            targets.serviceTime() * static_cast<std::int64_t>(queue.size() / std::max(targets.limit(), 1U));
        reply.retryAfter = std::chrono::ceil<Milliseconds>(wait);
    }
    return reply;
}

UnknownMessage Dispatcher::Impl::unknownReply(const RequestMessage &message, UnknownReason reason)
{
    return { message.id, message.service, message.caller, reason };
}

} // namespace poplarroad
