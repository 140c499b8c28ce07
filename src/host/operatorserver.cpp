#include "operatorserver.h"

#include "link/operatorwire.h"

#include <algorithm>
#include <utility>

namespace poplarroad
{

namespace
{

/** Timeout of a call to another balancer; the balancer is then reported as not answering. */
constexpr kj::Duration RemoteCallTimeout = 1 * kj::SECONDS;

/**
 * Queries another task.
 *
 * @param post posts the query with the given callback
 * @return the answer; resolves in the thread of the kj event loop
 */
template<typename T>
kj::Promise<T> queryTask(const std::function<void(std::function<void(T)>)> &post)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
    auto fulfiller = std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller));
    post([fulfiller](T answer) { (*fulfiller)->fulfill(kj::mv(answer)); });
    return kj::mv(pair.promise);
}

void writeHost(const HostStatus &status, rpc::BalancerStatus::Builder builder)
{
    const FleetView &view = *status.view;
    const HostRecord *self = view.findHost(view.self);
    builder.setAddress(toString(view.self));
    builder.setZone(zoneName(*status.configuration, view.zone));
    const std::string state(nameOf(view.leaving ? HostState::Leaving : self ? self->state : HostState::Alive));
    builder.setState(state);
    builder.setAnswered(true);
    builder.setIncarnation(view.incarnation.value);
    builder.setRevision(status.configuration->revision().value);
    builder.setPlatformReachable(status.platformReachable);
    builder.setPending(status.router.pending);
    auto pools = builder.initPools(status.dispatch.pools.size());
    for (std::size_t i = 0; i < status.dispatch.pools.size(); ++i) {
        writePool(status.dispatch.pools[i], *status.configuration, pools[i]);
    }
}

void writeReasons(const std::vector<std::string> &reasons, rpc::Explanation::Builder builder)
{
    auto list = builder.initReasons(reasons.size());
    for (std::size_t i = 0; i < reasons.size(); ++i) {
        list.set(i, reasons[i]);
    }
}

/** @return the lowest revision among the balancers that answered; 0 if none did */
std::uint64_t lowestRevision(rpc::ZoneStatus::Builder builder)
{
    std::uint64_t lowest = UINT64_MAX;
    for (const auto balancer : builder.asReader().getBalancers()) {
        lowest = balancer.getAnswered() ? std::min(lowest, balancer.getRevision()) : lowest;
    }
    return lowest == UINT64_MAX ? 0 : lowest;
}

} // namespace

OperatorServer::OperatorServer(OperatorEndpoint endpoint, TaskSenders senders)
    : endpoint_(endpoint)
    , senders_(std::move(senders))
{
}

HostAddress OperatorServer::operatorAddress(const HostAddress &peer) const
{
    return { peer.ip, static_cast<std::uint16_t>(peer.port + endpoint_.portOffset) };
}

template<typename T>
kj::Promise<T> OperatorServer::withTimeout(kj::Promise<T> promise)
{
    return timer_->timeoutAfter(RemoteCallTimeout, kj::mv(promise));
}

kj::Promise<OperatorServer::ConfigReply> OperatorServer::queryConfig()
{
    return queryTask<ConfigReply>([this](std::function<void(ConfigReply)> done) {
        senders_.toConfig(ConfigStatusQuery{ [done = std::move(done)](ConfigurationPtr configuration, bool reachable) {
            done(ConfigReply{ std::move(configuration), reachable });
        } });
    });
}

kj::Promise<OperatorServer::MembershipReply> OperatorServer::queryMembership()
{
    return queryTask<MembershipReply>([this](std::function<void(MembershipReply)> done) {
        senders_.toPeers(MembershipStatusQuery{
            [done = std::move(done)](std::shared_ptr<const FleetView> view, MembershipStatus status) {
                done(MembershipReply{ std::move(view), status });
            } });
    });
}

kj::Promise<HostStatus> OperatorServer::queryHost()
{
    auto status = kj::heap<HostStatus>();
    HostStatus &out = *status;
    return queryConfig()
        .then([this, &out](ConfigReply answer) {
            out.configuration = std::move(answer.configuration);
            out.platformReachable = answer.platformReachable;
            return queryMembership();
        })
        .then([this, &out](const MembershipReply &answer) {
            out.view = answer.view;
            out.membership = answer.status;
            return queryTask<DispatchStatus>([this](std::function<void(DispatchStatus)> done) {
                senders_.toDispatch(DispatchStatusQuery{ std::move(done) });
            });
        })
        .then([this, &out](DispatchStatus answer) {
            out.dispatch = std::move(answer);
            return queryTask<RouterStatus>([this](std::function<void(RouterStatus)> done) {
                senders_.toCallers(RouterStatusQuery{ std::move(done) });
            });
        })
        .then([status = kj::mv(status)](RouterStatus answer) mutable {
            status->router = answer;
            return HostStatus(std::move(*status));
        });
}

kj::Promise<FlowExplanation> OperatorServer::queryFlow(FlowId flow)
{
    return queryTask<FlowExplanation>([this, flow](std::function<void(FlowExplanation)> done) {
        senders_.toDispatch(ExplainFlowQuery{ flow, std::move(done) });
    });
}

kj::Promise<std::vector<std::string>> OperatorServer::queryTarget(TargetId target)
{
    return queryTask<std::vector<std::string>>([this, target](std::function<void(std::vector<std::string>)> done) {
        senders_.toDispatch(ExplainTargetQuery{ target, std::move(done) });
    });
}

kj::Promise<void> OperatorServer::apply(ApplyContext context)
{
    const auto change = context.getParams().getChange();
    OperatorReader reader;
    std::optional<ConfigEdit> edit = reader.readEdit(change.getEdit());
    if (!edit || change.getChangeId().size() == 0) {
        const std::string detail = edit ? "changeId: empty; a unique text is expected" : reader.lastDetail();
        writeOutcome({ ChangeResult::Refused, {}, detail }, context.getResults().initOutcome());
        return kj::READY_NOW;
    }
    ChangeRequest request{ Revision{ change.getBasedOn() }, change.getChangeId().cStr(), std::move(*edit) };
    return queryTask<ChangeOutcome>([&](std::function<void(ChangeOutcome)> done) {
               senders_.toConfig(OperatorChange{ std::move(request), std::move(done) });
           })
        .then([context](const ChangeOutcome &outcome) mutable {
            writeOutcome(outcome, context.getResults().initOutcome());
        });
}

kj::Promise<void> OperatorServer::configuration(ConfigurationContext context)
{
    return queryConfig().then([context](const ConfigReply &answer) mutable {
        writeConfiguration(*answer.configuration, context.getResults().initConfiguration());
    });
}

kj::Promise<void> OperatorServer::balancerStatus(BalancerStatusContext context)
{
    return queryHost().then(
        [context](const HostStatus &status) mutable { writeHost(status, context.getResults().initStatus()); });
}

kj::Promise<void> OperatorServer::fillHost(const HostRecord &host, ZoneId zone, rpc::BalancerStatus::Builder builder)
{
    builder.setAddress(toString(host.address));
    builder.setZone("#" + std::to_string(zone.value));
    builder.setState(std::string(nameOf(host.state)));
    builder.setIncarnation(host.incarnation.value);
    if (host.state == HostState::Dead) {
        return kj::READY_NOW;
    }
    auto client = kj::heap<capnp::EzRpcClient>(toString(operatorAddress(host.address)));
    auto call = client->getMain<rpc::Operator>().balancerStatusRequest().send();
    return withTimeout<void>(
               call.then([builder](capnp::Response<rpc::Operator::BalancerStatusResults> response) mutable {
                   const auto status = response.getStatus();
                   builder.setZone(status.getZone());
                   builder.setState(status.getState());
                   builder.setAnswered(true);
                   builder.setIncarnation(status.getIncarnation());
                   builder.setRevision(status.getRevision());
                   builder.setPlatformReachable(status.getPlatformReachable());
                   builder.setPending(status.getPending());
                   builder.setPools(status.getPools());
               }))
        .catch_([](kj::Exception && /*error*/) {
            // The entry keeps the state known from the membership, with `answered` false.
        })
        .attach(kj::mv(client));
}

kj::Promise<void> OperatorServer::fillZone(rpc::ZoneStatus::Builder builder)
{
    return queryHost().then([this, builder](const HostStatus &status) mutable -> kj::Promise<void> {
        const FleetView &view = *status.view;
        builder.setZone(zoneName(*status.configuration, view.zone));
        builder.setReachable(true);
        builder.setLiveHosts(static_cast<std::uint32_t>(std::count_if(
            view.hosts.begin(), view.hosts.end(), [](const auto &host) { return host.state != HostState::Dead; })));
        auto balancers = builder.initBalancers(view.hosts.size());
        auto calls = kj::heapArrayBuilder<kj::Promise<void>>(view.hosts.size());
        for (std::size_t i = 0; i < view.hosts.size(); ++i) {
            if (view.hosts[i].address == view.self) {
                writeHost(status, balancers[i]);
                calls.add(kj::READY_NOW);
            } else {
                calls.add(fillHost(view.hosts[i], view.zone, balancers[i]));
            }
        }
        return kj::joinPromises(calls.finish()).then([builder]() mutable {
            builder.setRevision(lowestRevision(builder));
        });
    });
}

kj::Promise<void> OperatorServer::zoneStatus(ZoneStatusContext context)
{
    return fillZone(context.getResults().initStatus());
}

kj::Promise<void> OperatorServer::fillOtherZone(const ZoneSummary &summary, const Configuration &configuration,
                                                rpc::ZoneStatus::Builder builder)
{
    builder.setZone(zoneName(configuration, summary.zone));
    builder.setReachable(summary.reachable);
    builder.setLiveHosts(summary.liveHosts);
    builder.setRevision(summary.revision.value);
    if (summary.gateways.empty()) {
        return kj::READY_NOW;
    }
    auto client = kj::heap<capnp::EzRpcClient>(toString(operatorAddress(summary.gateways.front())));
    auto call = client->getMain<rpc::Operator>().zoneStatusRequest().send();
    // The gateway itself waits up to RemoteCallTimeout for the balancers of its zone.
    return timer_
        ->timeoutAfter(2 * RemoteCallTimeout,
                       call.then([builder](capnp::Response<rpc::Operator::ZoneStatusResults> response) mutable {
                           const auto status = response.getStatus();
                           builder.setLiveHosts(status.getLiveHosts());
                           builder.setRevision(status.getRevision());
                           builder.setBalancers(status.getBalancers());
                       }))
        .catch_([](kj::Exception && /*error*/) {
            // The entry keeps the values of the zone's last summary, without balancers.
        })
        .attach(kj::mv(client));
}

kj::Promise<void> OperatorServer::fleetStatus(FleetStatusContext context)
{
    return queryHost().then([this, context](const HostStatus &status) mutable {
        const auto &others = status.view->otherZones;
        auto zones = context.getResults().initZones(others.size() + 1);
        auto calls = kj::heapArrayBuilder<kj::Promise<void>>(others.size() + 1);
        calls.add(fillZone(zones[0]));
        for (std::size_t i = 0; i < others.size(); ++i) {
            calls.add(fillOtherZone(others[i], *status.configuration, zones[i + 1]));
        }
        return kj::joinPromises(calls.finish());
    });
}

template<typename Request>
kj::Promise<bool> OperatorServer::sendExplainRequest(kj::Own<capnp::EzRpcClient> client, Request request,
                                                     rpc::Explanation::Builder builder)
{
    return withTimeout<bool>(request.send().then([builder](auto response) mutable {
               const auto explanation = response.getExplanation();
               builder.setKnown(explanation.getKnown());
               builder.setTarget(explanation.getTarget());
               builder.setBalancer(explanation.getBalancer());
               builder.setReasons(explanation.getReasons());
               return explanation.getKnown();
           }))
        .catch_([](kj::Exception && /*error*/) { return false; })
        .attach(kj::mv(client));
}

kj::Promise<bool> OperatorServer::explainFlowAt(const HostAddress &host, FlowId flow, rpc::Scope scope,
                                                rpc::Explanation::Builder builder)
{
    auto client = kj::heap<capnp::EzRpcClient>(toString(operatorAddress(host)));
    auto request = client->getMain<rpc::Operator>().explainFlowRequest();
    request.setFlow(flow.value);
    request.setScope(scope);
    return sendExplainRequest(kj::mv(client), kj::mv(request), builder);
}

kj::Promise<bool> OperatorServer::explainTargetAt(const HostAddress &host, const std::string &target, rpc::Scope scope,
                                                  rpc::Explanation::Builder builder)
{
    auto client = kj::heap<capnp::EzRpcClient>(toString(operatorAddress(host)));
    auto request = client->getMain<rpc::Operator>().explainTargetRequest();
    request.setTarget(target);
    request.setScope(scope);
    return sendExplainRequest(kj::mv(client), kj::mv(request), builder);
}

kj::Promise<bool> OperatorServer::explainAtNext(const HostList &hosts, std::size_t index, const RemoteExplain &explain)
{
    if (index == hosts->size()) {
        return false;
    }
    const auto &[host, scope] = (*hosts)[index];
    return explain(host, scope).then([this, hosts, index, explain](bool known) -> kj::Promise<bool> {
        return known ? kj::Promise<bool>(true) : explainAtNext(hosts, index + 1, explain);
    });
}

kj::Promise<bool> OperatorServer::explainAtOtherBalancers(rpc::Scope scope, const RemoteExplain &explain)
{
    if (scope == rpc::Scope::BALANCER) {
        return false;
    }
    return queryMembership().then([this, scope, explain](const MembershipReply &answer) {
        auto hosts = std::make_shared<std::vector<std::pair<HostAddress, rpc::Scope>>>();
        for (const HostRecord &host : answer.view->hosts) {
            if (host.state != HostState::Dead && host.address != answer.view->self) {
                hosts->emplace_back(host.address, rpc::Scope::BALANCER);
            }
        }
        for (const ZoneSummary &zone : answer.view->otherZones) {
            if (scope == rpc::Scope::FLEET && !zone.gateways.empty()) {
                hosts->emplace_back(zone.gateways.front(), rpc::Scope::ZONE);
            }
        }
        return explainAtNext(hosts, 0, explain);
    });
}

kj::Promise<void> OperatorServer::explainFlow(ExplainFlowContext context)
{
    const FlowId flow{ context.getParams().getFlow() };
    const rpc::Scope scope = context.getParams().getScope();
    return queryFlow(flow).then(
        [this, context, flow, scope](const FlowExplanation &local) mutable -> kj::Promise<void> {
            auto builder = context.getResults().initExplanation();
            if (!local.known) {
                return explainAtOtherBalancers(scope,
                                               [this, flow, builder](const HostAddress &host, rpc::Scope remoteScope) {
                                                   return explainFlowAt(host, flow, remoteScope, builder);
                                               })
                    .ignoreResult();
            }
            writeReasons(local.reasons, builder);
            builder.setKnown(true);
            return queryHost().then([builder, target = local.target](const HostStatus &status) mutable {
                const Target *found = status.configuration->findTarget(target);
                builder.setTarget(found ? found->name : std::string());
                builder.setBalancer(toString(status.view->self));
            });
        });
}

kj::Promise<void> OperatorServer::explainTarget(ExplainTargetContext context)
{
    const std::string target = context.getParams().getTarget().cStr();
    const rpc::Scope scope = context.getParams().getScope();
    return queryTarget(targetIdOf(target))
        .then([this, context, target, scope](const std::vector<std::string> &reasons) mutable -> kj::Promise<void> {
            auto builder = context.getResults().initExplanation();
            if (reasons.empty()) {
                return explainAtOtherBalancers(
                           scope,
                           [this, target, builder](const HostAddress &host, rpc::Scope remoteScope) {
                               return explainTargetAt(host, target, remoteScope, builder);
                           })
                    .ignoreResult();
            }
            writeReasons(reasons, builder);
            builder.setKnown(true);
            builder.setTarget(target);
            return queryMembership().then(
                [builder](const MembershipReply &answer) mutable { builder.setBalancer(toString(answer.view->self)); });
        });
}

kj::Promise<void> OperatorServer::explainService(ExplainServiceContext context)
{
    const ServiceId service = serviceIdOf(context.getParams().getService().cStr());
    return queryTask<std::vector<std::string>>([this, service](std::function<void(std::vector<std::string>)> done) {
               senders_.toCallers(ExplainServiceQuery{ service, std::move(done) });
           })
        .then([context](const std::vector<std::string> &reasons) mutable {
            auto builder = context.getResults().initExplanation();
            builder.setKnown(!reasons.empty());
            writeReasons(reasons, builder);
        });
}

} // namespace poplarroad
