#include "poplarroad/dispatcher.h"

#include "dispatcherimpl.h"

#include <utility>

namespace poplarroad
{

Dispatcher::Dispatcher(PoolId pool, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(pool, seed))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setConfiguration(ConfigurationPtr configuration, TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    impl_->setConfiguration(std::move(configuration));
}

void Dispatcher::setView(std::shared_ptr<const FleetView> view, TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    impl_->setView(std::move(view));
}

void Dispatcher::onCallerMessage(CallerMessage message, const ReturnPath &path, TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    std::visit([&](auto &&alternative) { impl_->onMessage(std::forward<decltype(alternative)>(alternative), path); },
               std::move(message));
}

void Dispatcher::takeOverPool(TimePoint now)
{
    impl_->now = now;
    impl_->takeOverPool();
}

void Dispatcher::onTargetEvent(TargetEvent event, TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    std::visit([&](auto &&alternative) { impl_->onEvent(std::forward<decltype(alternative)>(alternative)); },
               std::move(event));
}

void Dispatcher::onTimer(TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    impl_->onTimer();
}

TimePoint Dispatcher::nextTimer() const
{
    return impl_->nextTimer();
}

void Dispatcher::onPaused(Incarnation next, TimePoint now, DispatchActions &actions)
{
    impl_->now = now;
    impl_->actions = &actions;
    impl_->onPaused(next);
}

bool Dispatcher::idle() const
{
    return impl_->requests.activeCount() == 0;
}

PoolReport Dispatcher::report(TimePoint now) const
{
    return impl_->report(now);
}

PoolStatus Dispatcher::status(TimePoint now) const
{
    PoolStatus status = impl_->counters;
    status.pool = impl_->pool;
    status.flows = impl_->flows.size();
    status.queued = impl_->queue.size();
    status.inProgress = impl_->targets.inProgress();
    for (const TargetStatus &target : impl_->targets.status()) {
        status.feeds += target.connections;
    }
    status.limit = impl_->targets.limit();
    status.indexedTargets = impl_->indexedTargets();
    status.report = report(now);
    return status;
}

std::optional<TargetExplanation> Dispatcher::explainTarget(TargetId target) const
{
    for (const TargetStatus &status : impl_->targets.status()) {
        if (status.target == target) {
            return TargetExplanation{ status, impl_->targets.explain(target) };
        }
    }
    return std::nullopt;
}

FlowExplanation Dispatcher::explain(FlowId id) const
{
    FlowExplanation explanation;
    explanation.flow = id;
    const auto target = impl_->explainTarget(id);
    explanation.known = impl_->flows.find(id) != nullptr;
    if (target) {
        explanation.target = *target;
        explanation.reasons = impl_->targets.explain(*target);
    }
    return explanation;
}

} // namespace poplarroad
