#include "fakeload.h"

#include "fakeloadparts.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <cmath>

namespace poplarroad::test
{

namespace
{
/** A caller renews a token that is older than this before it sends a non-idempotent request. */
constexpr Microseconds MaxTokenAge = 2s;
constexpr double RequestsPerSecondOfCaller = 0.5;
/** Customers' callers open thousands of flows per second at each balancer, so a flow has few requests. */
constexpr double NewFlowProbability = 0.25;
constexpr std::uint32_t MaxSends = 3; ///< per request, with its retries
constexpr Microseconds MaxRefusalDelay = 10ms; ///< without the network delay
constexpr std::size_t HeavyCallerFlowCount = 200;

double randomUnitFrom(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}
} // namespace

bool FakeLoad::measuring(TimePoint at) const
{
    return at >= start_ + options_.measureFrom && at < start_ + options_.duration;
}

LoadReport FakeLoad::run()
{
    while (time_.step(start_ + options_.duration)) { }
    // Arrivals have stopped; lets the requests in progress finish.
    while (time_.step(start_ + options_.duration + 4s)) { }
    for (const auto &[id, pending] : pendingRequests_) {
        if (measuring(pending.arrivedAt)) {
            report_.kinds[pending.source->demand.kind].unanswered += 1;
        }
    }
    report_.seconds = std::chrono::duration<double>(options_.duration - options_.measureFrom).count();
    return report_;
}

void FakeLoad::generateArrival(RequestSource &source)
{
    const bool flooding = time_.now() >= start_ + FloodStart && source.demand.floodLoad > 0;
    const double rate = source.capacity * (flooding ? source.demand.floodLoad : source.demand.load);
    if (time_.now() >= start_ + options_.duration) {
        return;
    }
    const auto callerCount = std::max<std::size_t>(1, static_cast<std::size_t>(rate / RequestsPerSecondOfCaller));
    while (source.callers.size() < callerCount
           || (source.demand.heavyCallerFraction > 0 && source.heavyCallerFlows.size() < HeavyCallerFlowCount)) {
        const bool isHeavyCaller =
            source.demand.heavyCallerFraction > 0 && source.heavyCallerFlows.size() < HeavyCallerFlowCount;
        callers_.push_back(std::make_unique<Caller>());
        Caller &caller = *callers_.back();
        caller.endpoint = callers_.size() - 1;
        caller.id = { isHeavyCaller ? 1'000'000'000 + source.contract.kind.value : callers_.size() };
        caller.flow = { source.random() };
        (isHeavyCaller ? source.heavyCallerFlows : source.callers).push_back(&caller);
    }
    const bool fromHeavyCaller = randomUnitFrom(source.random) < source.demand.heavyCallerFraction;
    auto &flows = fromHeavyCaller ? source.heavyCallerFlows : source.callers;
    Caller &caller = *flows[source.random() % flows.size()];
    if (randomUnitFrom(source.random) < NewFlowProbability && caller.waitingForToken.empty()) {
        caller.flow = { source.random() };
        caller.sequence = 0;
        caller.token.reset();
    }
    if (time_.now() >= caller.retryNotBefore) {
        startRequest(source, caller);
    }
    const double interarrivalUs = -std::log(1.0 - randomUnitFrom(source.random)) * 1e6 / rate;
    time_.after(Microseconds(std::max<std::int64_t>(1, std::llround(interarrivalUs))),
                [this, &source] { generateArrival(source); });
}

void FakeLoad::startRequest(RequestSource &source, Caller &caller)
{
    PendingRequest pending;
    pending.source = &source;
    pending.arrivedAt = time_.now();
    pending.fromHeavyCaller = caller.id.value >= 1'000'000'000;
    if (measuring(time_.now())) {
        KindReport &kind = report_.kinds[source.demand.kind];
        kind.offered += 1;
        kind.offeredByHeavyCaller += pending.fromHeavyCaller ? 1 : 0;
    }
    submit(caller, pending);
}

void FakeLoad::submit(Caller &caller, PendingRequest pending)
{
    const RequestSource &source = *pending.source;
    const bool needsRenewal = !caller.token || time_.now() - caller.tokenAt > MaxTokenAge;
    if (!source.contract.idempotent && needsRenewal) {
        caller.waitingForToken.push_back(pending);
        if (caller.waitingForToken.size() == 1) {
            RenewMessage renew;
            renew.flow = caller.flow;
            renew.service = serviceIdOf(source.service);
            renew.caller = caller.id;
            renew.token = caller.token;
            send(caller.endpoint, renew);
        }
        return;
    }
    RequestMessage request;
    request.id = { caller.flow, ++caller.sequence };
    request.service = serviceIdOf(source.service);
    request.kind = source.contract.kind;
    request.caller = caller.id;
    request.token = caller.token;
    request.remaining = source.contract.deadline;
    pending.sentAt = time_.now();
    pending.sends += 1;
    pending.ingress = send(caller.endpoint, request);
    pendingRequests_[request.id] = pending;
}

std::size_t FakeLoad::send(std::uint64_t endpoint, const CallerMessage &message)
{
    const std::size_t index = random_() % balancers_.size();
    Balancer &balancer = *balancers_[index];
    time_.after(CallerDelay, [this, &balancer, endpoint, message] {
        RouteActions actions;
        balancer.router->onCallerMessage(message, endpoint, time_.now(), actions);
        handle(balancer, std::move(actions));
    });
    return index;
}

void FakeLoad::storeToken(Caller &caller, const std::optional<FlowToken> &token)
{
    if (token && token->flow == caller.flow) {
        caller.token = token;
        caller.tokenAt = time_.now();
    }
}

void FakeLoad::recordOutcome(const PendingRequest &pending, std::uint64_t KindReport::*outcome)
{
    KindReport &kind = report_.kinds[pending.source->demand.kind];
    const bool slot = pending.source->contract.occupancy == Occupancy::Slot;
    const bool answered = outcome == &KindReport::answered;
    kind.completed += answered && measuring(time_.now()) ? 1 : 0;
    if (!measuring(pending.arrivedAt)) {
        return;
    }
    kind.*outcome += 1;
    const std::string &zone = balancers_[pending.ingress]->zone;
    report_.offeredInZone[zone] += slot ? 1 : 0;
    report_.answeredInZone[zone] += slot && answered ? 1 : 0;
    kind.answeredToHeavyCaller += answered && pending.fromHeavyCaller ? 1 : 0;
    if (answered) {
        kind.latencies.push_back(std::chrono::duration_cast<Microseconds>(time_.now() - pending.arrivedAt));
    }
}

void FakeLoad::onReply(Caller &caller, const CallerReply &reply)
{
    std::visit(Visitor{
                   [&](const AnswerMessage &answer) {
                       storeToken(caller, answer.token);
                       if (const auto found = pendingRequests_.find(answer.id); found != pendingRequests_.end()) {
                           recordOutcome(found->second, &KindReport::answered);
                           pendingRequests_.erase(found);
                       }
                   },
                   [&](const NotRunMessage &notRun) { onNotRun(caller, notRun); },
                   [&](const UnknownMessage &unknown) {
                       if (const auto found = pendingRequests_.find(unknown.id); found != pendingRequests_.end()) {
                           report_.kinds[found->second.source->demand.kind]
                               .refusals["unknown " + std::string(nameOf(unknown.reason))] += 1;
                           recordOutcome(found->second, &KindReport::unknown);
                           pendingRequests_.erase(found);
                       }
                   },
                   [&](const RenewedMessage &renewed) {
                       storeToken(caller, renewed.token);
                       std::vector<PendingRequest> waitingForToken;
                       waitingForToken.swap(caller.waitingForToken);
                       for (const PendingRequest &pending : waitingForToken) {
                           submit(caller, pending);
                       }
                   },
               },
               reply);
}

void FakeLoad::onNotRun(Caller &caller, const NotRunMessage &notRun)
{
    storeToken(caller, notRun.token);
    const auto found = pendingRequests_.find(notRun.id);
    if (found == pendingRequests_.end()) {
        return;
    }
    const PendingRequest pending = found->second;
    pendingRequests_.erase(found);
    report_.refusedAfterRun += startedRequests_.contains(notRun.id) ? 1 : 0;
    const bool retry = notRun.reason == NotRunReason::TokenRequired || notRun.reason == NotRunReason::Moved
        || notRun.reason == NotRunReason::Draining;
    if (retry && pending.sends < MaxSends) {
        submit(caller, pending);
        return;
    }
    caller.retryNotBefore = time_.now() + notRun.retryAfter;
    if (measuring(pending.arrivedAt)) {
        KindReport &kind = report_.kinds[pending.source->demand.kind];
        const auto refusalDelay = std::chrono::duration_cast<Microseconds>(time_.now() - pending.sentAt);
        kind.longestRefusalDelay = std::max(kind.longestRefusalDelay, refusalDelay);
        kind.lateRefusals += refusalDelay > MaxRefusalDelay + CallerDelay + zoneDelay_ ? 1 : 0;
        kind.refusals[std::string(nameOf(notRun.reason))] += 1;
    }
    recordOutcome(pending, &KindReport::notRun);
}

} // namespace poplarroad::test
