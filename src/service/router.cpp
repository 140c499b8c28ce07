#include "poplarroad/router.h"

#include "poplarroad/visitor.h"
#include "routerimpl.h"

namespace poplarroad
{

Router::Router(std::uint64_t seed)
    : impl_(std::make_unique<Impl>(seed))
{
}

Router::~Router() = default;

void Router::setConfiguration(ConfigurationPtr configuration, TimePoint)
{
    impl_->planner.setConfiguration(std::move(configuration));
}

void Router::setView(std::shared_ptr<const FleetView> view, TimePoint)
{
    impl_->planner.setView(std::move(view));
}

void Router::onCallerMessage(CallerMessage message, std::uint64_t endpoint, TimePoint now, RouteActions &actions)
{
    const HostAddress self = impl_->planner.view() ? impl_->planner.view()->self : HostAddress{};
    impl_->handle({ std::move(message), { self, endpoint }, 0, false }, now, actions);
}

void Router::onForwarded(CallerMessage message, const ReturnPath &path, std::uint8_t hops, TimePoint now,
                         RouteActions &actions)
{
    impl_->handle({ std::move(message), path, hops, true }, now, actions);
}

void Router::onReply(CallerReply reply, const ReturnPath &path, TimePoint now, RouteActions &actions)
{
    impl_->onReply(std::move(reply), path, now, actions);
}

void Router::onPoolReport(const PoolReport &report, TimePoint now)
{
    impl_->planner.zones().onPoolReport(report, now);
    impl_->shedding.onPoolReport(report, now);
}

void Router::onHostLost(const HostAddress &host, TimePoint now, RouteActions &actions)
{
    impl_->onHostLost(host, now, actions);
}

void Router::endFeeds(RouteActions &actions)
{
    impl_->endFeeds(actions);
}

void Router::onTimer(TimePoint now, RouteActions &actions)
{
    impl_->onTimer(now, actions);
}

TimePoint Router::nextTimer() const
{
    return impl_->pending.nextDue();
}

RouterStatus Router::status() const
{
    RouterStatus status = impl_->status;
    status.pending = impl_->pending.size();
    return status;
}

std::vector<std::string> Router::explain(ServiceId service) const
{
    return impl_->planner.zones().explain(service);
}

} // namespace poplarroad
