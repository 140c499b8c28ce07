#include "fakeload.h"

#include "fakeloadparts.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <cmath>

namespace poplarroad::test
{

namespace
{
constexpr double ServiceTimeSigma = 0.5; ///< standard deviation of the logarithm of the service time
constexpr int BalancerCount = 8;

Contract makeContract(const std::string &name, Urgency urgency, std::uint32_t weight, bool idempotent,
                      Milliseconds deadline, double minimumShare, std::uint32_t callerLimit, Occupancy occupancy)
{
    return { kindIdOf(name), name, urgency, weight, idempotent, deadline, minimumShare, callerLimit, occupancy };
}
} // namespace

Microseconds KindReport::quantile(double fraction) const
{
    std::vector<Microseconds> sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? Microseconds(0)
                          : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

FakeLoad::FakeLoad(LoadOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , serviceUs_(std::log(static_cast<double>(MeanServiceTime.count())) - ServiceTimeSigma * ServiceTimeSigma / 2,
                 ServiceTimeSigma)
    , start_(time_.now())
{
    buildConfiguration();
    createBalancers();
    for (const Demand &demand : options_.demands) {
        auto source = std::make_unique<RequestSource>();
        source->demand = demand;
        source->contract = contractOf(demand.kind);
        source->service = contracts_.at(demand.kind).first;
        source->capacity = capacityOf(demand.kind);
        source->random.seed(options_.seed * 31 + source->contract.kind.value);
        RequestSource &added = *source;
        sources_.push_back(std::move(source));
        time_.after(Microseconds(1), [this, &added] { generateArrival(added); });
    }
    if (!options_.changedTarget.empty()) {
        time_.after(ChangeAt, [this] { changeTarget(); });
    }
}

FakeLoad::~FakeLoad() = default;

/** Builds the configuration with the values of examples/bogota and examples/bajio. */
void FakeLoad::buildConfiguration()
{
    const bool bogota = options_.deployment == Deployment::Bogota;
    zones_ = bogota ? std::vector<std::string>{ "norte", "centro", "sur" }
                    : std::vector<std::string>{ "leon", "celaya", "irapuato", "silao" };
    zoneDelay_ = bogota ? 4ms : 5ms;
    ConfigurationBuilder builder;
    for (std::size_t i = 0; i < zones_.size(); ++i) {
        builder.zone(zones_[i]);
    }
    for (std::size_t i = 0; i < zones_.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            builder.link(zones_[j], zones_[i], zoneDelay_, 1.0);
        }
    }
    std::map<std::string, std::vector<Contract>> services;
    if (bogota) {
        services["stock"] = { makeContract("bid", Urgency::Critical, 2, false, 2000ms, 0.5, 16, Occupancy::Slot),
                              makeContract("feed", Urgency::High, 1, true, 5000ms, 0.0, 64, Occupancy::Connection) };
        services["photos"] = { makeContract("photo", Urgency::Low, 1, true, 3000ms, 0.0, 16, Occupancy::Slot) };
    } else {
        services["booking"] = {
            makeContract("reservation", Urgency::Critical, 4, false, 2000ms, 0.5, 16, Occupancy::Slot),
            makeContract("pickup", Urgency::Normal, 1, true, 2000ms, 0.1, 16, Occupancy::Slot),
            makeContract("availability", Urgency::High, 1, true, 5000ms, 0.0, 64, Occupancy::Connection)
        };
        services["vouchers"] = { makeContract("voucher", Urgency::Low, 1, true, 3000ms, 0.0, 16, Occupancy::Slot) };
    }
    for (const auto &[service, contracts] : services) {
        builder.service(service, contracts);
        for (const Contract &each : contracts) {
            contracts_[each.name] = { service, each };
        }
    }
    addTargets(bogota ? "stock" : "booking", 14, bogota ? 3 : 2);
    addTargets(bogota ? "photos" : "vouchers", 4, bogota ? 3 : 2);
    for (const auto &[id, target] : targets_) {
        if (!options_.joins || target->declared.name != options_.changedTarget) {
            builder.target(target->declared);
        }
    }
    configuration_ = std::make_shared<Configuration>(*builder.build());
}

void FakeLoad::addTargets(const std::string &service, int count, std::uint16_t slots)
{
    for (int i = 0; i < count; ++i) {
        auto fake = std::make_unique<FakeTarget>();
        fake->zone = zones_[static_cast<std::size_t>(i) % zones_.size()];
        Target &target = fake->declared;
        target.name = service + "-" + std::to_string(i + 1);
        target.id = targetIdOf(target.name);
        target.service = serviceIdOf(service);
        target.zone = zoneIdOf(fake->zone);
        target.address = { 0x0a010001U + static_cast<std::uint32_t>(targets_.size()), 9000 };
        target.slots = slots;
        target.connections = ConnectionsPerTarget;
        targets_[target.id.value] = std::move(fake);
    }
}

void FakeLoad::createBalancers()
{
    for (int i = 0; i < BalancerCount; ++i) {
        auto balancer = std::make_unique<Balancer>();
        balancer->address = { 0x0a000001U + static_cast<std::uint32_t>(i), 7000 };
        balancer->zone = zones_[static_cast<std::size_t>(i) % zones_.size()];
        balancers_.push_back(std::move(balancer));
    }
    for (const auto &balancer : balancers_) {
        balancer->view = std::make_shared<FleetView>();
        FleetView &view = *balancer->view;
        view.self = balancer->address;
        view.incarnation = { balancer->address.key() };
        view.zone = zoneIdOf(balancer->zone);
        view.joined = true;
        std::map<std::string, ZoneSummary> others;
        for (const auto &other : balancers_) {
            if (other->zone == balancer->zone) {
                HostRecord record;
                record.address = other->address;
                record.incarnation = { other->address.key() };
                view.hosts.push_back(record);
                continue;
            }
            ZoneSummary &summary = others[other->zone];
            summary.zone = zoneIdOf(other->zone);
            summary.reachable = true;
            ++summary.liveHosts;
            if (summary.gateways.size() < 2) {
                summary.gateways.push_back(other->address);
            }
        }
        for (const auto &[zone, summary] : others) {
            view.otherZones.push_back(summary);
        }
        balancer->router = std::make_unique<Router>(random_());
        balancer->router->setConfiguration(configuration_, start_);
        balancer->router->setView(balancer->view, start_);
        runTimers(*balancer);
    }
}

void FakeLoad::changeTarget()
{
    const Target &target = targets_.at(targetIdOf(options_.changedTarget).value)->declared;
    const ConfigEdit edit = options_.joins ? ConfigEdit(PutTarget{ target })
                                           : ConfigEdit(SetTargetState{ target.id, TargetState::Draining });
    auto next = std::make_shared<Configuration>(*configuration_);
    next->apply({ { next->revision().value + 1 }, next->revision(), "change", edit });
    configuration_ = next;
    for (const auto &balancer : balancers_) {
        balancer->router->setConfiguration(next, time_.now());
        for (auto &[pool, each] : balancer->dispatchers) {
            DispatchActions actions;
            each.setConfiguration(next, time_.now(), actions);
            handle(*balancer, pool, std::move(actions));
        }
    }
}

void FakeLoad::runTimers(Balancer &balancer)
{
    RouteActions routes;
    balancer.router->onTimer(time_.now(), routes);
    handle(balancer, std::move(routes));
    for (auto &[pool, each] : balancer.dispatchers) {
        DispatchActions actions;
        each.onTimer(time_.now(), actions);
        handle(balancer, pool, std::move(actions));
    }
    time_.after(5ms, [this, &balancer] { runTimers(balancer); });
}

FakeLoad::Balancer &FakeLoad::balancerAt(const HostAddress &address)
{
    return *balancers_.at(address.ip - 0x0a000001U);
}

Dispatcher &FakeLoad::dispatcher(Balancer &balancer, PoolId pool)
{
    auto found = balancer.dispatchers.find(pool);
    if (found == balancer.dispatchers.end()) {
        found = balancer.dispatchers.emplace(pool, Dispatcher(pool, random_())).first;
        DispatchActions actions;
        found->second.setConfiguration(configuration_, time_.now(), actions);
        found->second.setView(balancer.view, time_.now(), actions);
    }
    return found->second;
}

void FakeLoad::handle(Balancer &balancer, RouteActions actions)
{
    for (RouteAction &action : actions) {
        std::visit(Visitor{
                       [&](const DispatchLocally &here) {
                           DispatchActions next;
                           dispatcher(balancer, here.pool).onCallerMessage(here.message, here.path, time_.now(), next);
                           handle(balancer, here.pool, std::move(next));
                       },
                       [&](const ForwardToHost &out) { forward(balancer, out.host, out.message, out.path, out.hops); },
                       [&](const ReplyToLocalCaller &out) {
                           time_.after(CallerDelay, [this, out] { onReply(*callers_.at(out.endpoint), out.reply); });
                       },
                       [&](const ReplyToIngress &back) { reply(balancer, {}, back.path, back.reply); },
                   },
                   action);
    }
}

void FakeLoad::handle(Balancer &balancer, PoolId pool, DispatchActions actions)
{
    if (actions.empty()) {
        return;
    }
    const PoolReport report = dispatcher(balancer, pool).report(time_.now());
    for (DispatchAction &action : actions) {
        std::visit(
            Visitor{
                [&](const RunAtTarget &run) { runAtTarget(balancer, pool, run); },
                [&](const CancelAtTarget &cancel) { targets_.at(cancel.target.value)->active.erase(cancel.id); },
                [&](const ReplyToCaller &out) { reply(balancer, report, out.path, out.reply); },
                [&](const ForwardToDispatcher &out) { forward(balancer, out.host, out.message, out.path, MaxHops); },
            },
            action);
    }
}

void FakeLoad::forward(Balancer &from, const HostAddress &to, const CallerMessage &message, const ReturnPath &path,
                       std::uint8_t hops)
{
    Balancer &target = balancerAt(to);
    time_.after(from.zone == target.zone ? InZoneDelay : zoneDelay_, [this, &target, message, path, hops] {
        RouteActions actions;
        target.router->onForwarded(message, path, hops, time_.now(), actions);
        handle(target, std::move(actions));
    });
}

void FakeLoad::reply(Balancer &from, const PoolReport &report, const ReturnPath &path, const CallerReply &reply)
{
    Balancer &ingress = balancerAt(path.ingress);
    const Microseconds delay = &ingress == &from ? 0us : from.zone == ingress.zone ? InZoneDelay : zoneDelay_;
    time_.after(delay, [this, &ingress, report, path, reply] {
        RouteActions actions;
        if (report.pool != PoolId{}) {
            ingress.router->onPoolReport(report, time_.now());
        }
        ingress.router->onReply(reply, path, time_.now(), actions);
        handle(ingress, std::move(actions));
    });
}

void FakeLoad::deliverTargetEvent(Balancer &balancer, PoolId pool, Microseconds delay, TargetEvent event)
{
    time_.after(delay, [this, &balancer, pool, event = std::move(event)] {
        DispatchActions actions;
        dispatcher(balancer, pool).onTargetEvent(event, time_.now(), actions);
        handle(balancer, pool, std::move(actions));
    });
}

void FakeLoad::runAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run)
{
    report_.runs += 1;
    report_.requestsRun += attemptedRequests_.insert(run.request.id).second ? 1 : 0;
    if (run.occupancy == Occupancy::Connection) {
        runFeedAtTarget(balancer, pool, run);
        return;
    }
    time_.after(InZoneDelay, [this, &balancer, pool, target = run.target, id = run.request.id] {
        FakeTarget &fake = *targets_.at(target.value);
        if (fake.active.size() >= fake.declared.slots) {
            deliverTargetEvent(balancer, pool, InZoneDelay, TargetRefused{ target, id, TargetRefusal::Shed });
            return;
        }
        startedRequests_.insert(id);
        const std::uint64_t number = ++fake.runs;
        fake.active[id] = number;
        if (measuring(time_.now())) {
            report_.requestsPerSlot[target.value] += 1.0 / fake.declared.slots;
        }
        const Microseconds serviceTime(static_cast<std::int64_t>(serviceUs_(random_)));
        time_.after(serviceTime, [this, &balancer, &fake, pool, target, id, number] {
            const auto found = fake.active.find(id);
            if (found == fake.active.end() || found->second != number) {
                return;
            }
            fake.active.erase(found);
            if (measuring(time_.now())) {
                report_.answeredByPool[fake.zone] += 1;
            }
            deliverTargetEvent(balancer, pool, InZoneDelay, TargetResult{ target, id, 0, true, {} });
        });
    });
}

void FakeLoad::runFeedAtTarget(Balancer &balancer, PoolId pool, const RunAtTarget &run)
{
    const auto lifetime =
        static_cast<std::int64_t>(-std::log(1.0 - randomUnit()) * static_cast<double>(FeedLifetime.count()));
    deliverTargetEvent(balancer, pool, 2ms, TargetResult{ run.target, run.request.id, 1, false, {} });
    deliverTargetEvent(balancer, pool, 3ms + Microseconds(lifetime),
                       TargetResult{ run.target, run.request.id, 2, true, {} });
}

double FakeLoad::capacityOf(const std::string &kind) const
{
    const auto &[service, contract] = contracts_.at(kind);
    const bool slot = contract.occupancy == Occupancy::Slot;
    double places = 0.0;
    for (const auto &[id, target] : targets_) {
        if (target->declared.service == serviceIdOf(service)) {
            places += slot ? target->declared.slots : target->declared.connections;
        }
    }
    return places / std::chrono::duration<double>(slot ? MeanServiceTime : FeedLifetime).count();
}

const Contract &FakeLoad::contractOf(const std::string &kind) const
{
    return contracts_.at(kind).second;
}

std::uint32_t FakeLoad::slotsIn(const std::string &kind, const std::string &zone) const
{
    return configuration_->slotsOf({ serviceIdOf(contracts_.at(kind).first), zoneIdOf(zone) });
}

double FakeLoad::randomUnit()
{
    return static_cast<double>(random_() >> 11U) * 0x1.0p-53;
}

} // namespace poplarroad::test
