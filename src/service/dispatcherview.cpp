#include "dispatcherimpl.h"

#include <algorithm>
#include <utility>

namespace poplarroad
{

namespace
{
constexpr std::size_t MaxFlows = 1000000; ///< per pool
/** Entries that the target index may have beyond twice the number of declared targets before it is compacted. */
constexpr std::size_t TargetIndexSlack = 32;
/** Upper bound for a membership update to reach all members of a zone. */
constexpr std::chrono::seconds ViewConvergenceTime{ 3 };
constexpr std::chrono::seconds FlowIdleTime{ 120 }; ///< longer than TokenValidity, see tokenError()
} // namespace

Dispatcher::Impl::Impl(PoolId poolId, std::uint64_t seed)
    : pool(poolId)
    , targets(seed)
    , flows(MaxFlows, FlowIdleTime, TimePoint{})
{
}

void Dispatcher::Impl::setConfiguration(ConfigurationPtr next)
{
    configuration = std::move(next);
    std::vector<Target> declared;
    for (const TargetId id : configuration->targetsOf(pool)) {
        declared.push_back(*configuration->findTarget(id));
        indexTarget(id);
    }
    targets.setTargets(declared, now);
    compactTargetIndex(declared.size());
    if (const Service *service = configuration->findService(pool.service)) {
        queue.setContracts(service->contracts);
    }
    moveFeeds();
    dispatchQueued();
}

void Dispatcher::Impl::indexTarget(TargetId target)
{
    if (targetIds_.size() < Flow::NoTarget
        && targetIndex_.try_emplace(target, static_cast<std::uint16_t>(targetIds_.size())).second) {
        targetIds_.push_back(target);
    }
}

void Dispatcher::Impl::compactTargetIndex(std::size_t declared)
{
    // Compaction visits all flows, so it is done only when it frees at least as many indexes as it keeps.
    if (targetIds_.size() < 2 * declared + TargetIndexSlack) {
        return;
    }
    const std::vector<TargetId> before = std::exchange(targetIds_, {});
    targetIndex_.clear();
    std::vector<std::uint16_t> indexOf(before.size(), Flow::NoTarget);
    for (std::size_t i = 0; i < before.size(); ++i) {
        const Target *target = configuration->findTarget(before[i]);
        if (target != nullptr && PoolId{ target->service, target->zone } == pool) {
            indexTarget(before[i]);
            indexOf[i] = targetIndex_.at(before[i]);
        } else {
            queue.unbind(before[i]);
        }
    }
    flows.forEach([&](Flow &flow) {
        if (flow.target != Flow::NoTarget) {
            flow.target = indexOf.at(flow.target);
        }
    });
}

void Dispatcher::Impl::setView(std::shared_ptr<const FleetView> next)
{
    const bool leavingStarted = next->leaving && !leaving();
    if (view && view->incarnation != next->incarnation) {
        pastIncarnations_.insert(view->incarnation);
    }
    view = std::move(next);
    if (awaitedIncarnation_ == view->incarnation) {
        awaitedIncarnation_.reset();
    }
    if (!leavingStarted) {
        return;
    }
    // The caller resumes the feed through another balancer after the last position that it received.
    for (const RequestId id : requests.findActive([](const RequestRecord &record) { return record.isFeed(); })) {
        RequestRecord &feed = *requests.find(id);
        actions->emplace_back(CancelAtTarget{ feed.target, id });
        endAttempt(feed, TargetOutcome::Cancelled);
        finishUnknown(feed, UnknownReason::DispatcherLost);
    }
}

std::optional<HostAddress> Dispatcher::Impl::otherDispatcher() const
{
    if (now < takeoverUntil_) {
        return std::nullopt;
    }
    const HostRecord *host = view ? dispatcherOf(pool, *view) : nullptr;
    return host != nullptr && host->address != view->self ? std::optional(host->address) : std::nullopt;
}

bool Dispatcher::Impl::leaving() const
{
    return view && view->leaving;
}

bool Dispatcher::Impl::canIssueTokens() const
{
    return view && view->joined && !paused() && !leaving() && !otherDispatcher();
}

void Dispatcher::Impl::takeOverPool()
{
    if (!leaving()) {
        takeoverUntil_ = now + ViewConvergenceTime;
    }
}

bool Dispatcher::Impl::paused() const
{
    return awaitedIncarnation_.has_value();
}

void Dispatcher::Impl::onPaused(Incarnation next)
{
    const bool viewHasIt = view && (view->incarnation == next || pastIncarnations_.contains(next));
    if (!viewHasIt) {
        awaitedIncarnation_ = next;
    }
    for (const RequestId id : queue.all()) {
        RequestRecord &record = *requests.find(id);
        removeFromQueue(record);
        refuse(record, NotRunReason::Paused);
    }
}

void Dispatcher::Impl::onTimer()
{
    targets.onTimer(now);
    flows.onTimer(now);
    for (const RequestId id : queue.expire(now)) {
        RequestRecord &record = *requests.find(id);
        removeFromQueue(record);
        refuse(record, NotRunReason::DeadlinePassed);
    }
    while (!running_.empty() && running_.begin()->first <= now) {
        RequestRecord &record = *requests.find(running_.begin()->second);
        actions->emplace_back(CancelAtTarget{ record.target, record.request.id });
        endAttempt(record, TargetOutcome::TimedOut);
        finishUnknown(record, UnknownReason::DeadlinePassed);
    }
    requests.expire(now);
    dispatchQueued();
}

TimePoint Dispatcher::Impl::nextTimer() const
{
    const TimePoint nextRunning = running_.empty() ? TimePoint::max() : running_.begin()->first;
    return std::min(
        { targets.nextTimer(), flows.nextTimer(), queue.nextDeadline(), nextRunning, requests.nextExpiry() });
}

PoolReport Dispatcher::Impl::report(TimePoint at) const
{
    PoolReport report;
    report.pool = pool;
    const double limit = std::max(targets.limit(), 1U);
    report.saturation = (static_cast<double>(queue.size()) + targets.inProgress()) / limit;
    report.shedBelow = queue.shedBelow(at);
    report.shedFor = report.shedBelow > Urgency::Low ? AdmissionQueue::ShedDuration : Milliseconds(0);
    return report;
}

std::optional<TargetId> Dispatcher::Impl::explainTarget(FlowId id)
{
    const Flow *flow = flows.find(id);
    return flow == nullptr ? std::nullopt : targetOf(*flow);
}

} // namespace poplarroad
