#ifndef POPLARROAD_HOST_OPERATORSERVER_H
#define POPLARROAD_HOST_OPERATORSERVER_H

#include "operator.capnp.h"
#include "operatortask.h"
#include "taskmessages.h"

#include <capnp/ez-rpc.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <functional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Implements the operator RPC interface; runs in the thread of the kj event loop. */
class OperatorServer final : public rpc::Operator::Server
{
public:
    /**
     * @param endpoint used to derive the operator addresses of other balancers
     * @param senders post to the other tasks
     */
    OperatorServer(OperatorEndpoint endpoint, TaskSenders senders);
    /** @param timer of the event loop that runs this server; limits the duration of calls to other balancers */
    void setTimer(kj::Timer &timer)
    {
        timer_ = &timer;
    }

protected:
    kj::Promise<void> apply(ApplyContext context) override;
    kj::Promise<void> configuration(ConfigurationContext context) override;
    kj::Promise<void> balancerStatus(BalancerStatusContext context) override;
    kj::Promise<void> zoneStatus(ZoneStatusContext context) override;
    kj::Promise<void> fleetStatus(FleetStatusContext context) override;
    kj::Promise<void> explainFlow(ExplainFlowContext context) override;
    kj::Promise<void> explainTarget(ExplainTargetContext context) override;
    kj::Promise<void> explainService(ExplainServiceContext context) override;

private:
    struct ConfigReply
    {
        ConfigurationPtr configuration;
        bool platformReachable = false;
    };
    struct MembershipReply
    {
        std::shared_ptr<const FleetView> view;
        MembershipStatus status;
    };

    kj::Promise<ConfigReply> queryConfig();
    kj::Promise<MembershipReply> queryMembership();
    kj::Promise<HostStatus> queryHost();
    kj::Promise<FlowExplanation> queryFlow(FlowId flow);
    kj::Promise<std::vector<std::string>> queryTarget(TargetId target);

    kj::Promise<void> fillZone(rpc::ZoneStatus::Builder builder);
    kj::Promise<void> fillHost(const HostRecord &host, ZoneId zone, rpc::BalancerStatus::Builder builder);
    kj::Promise<void> fillOtherZone(const ZoneSummary &summary, const Configuration &configuration,
                                    rpc::ZoneStatus::Builder builder);
    kj::Promise<bool> explainFlowAt(const HostAddress &host, FlowId flow, rpc::Scope scope,
                                    rpc::Explanation::Builder builder);
    kj::Promise<bool> explainTargetAt(const HostAddress &host, const std::string &target, rpc::Scope scope,
                                      rpc::Explanation::Builder builder);
    using HostList = std::shared_ptr<std::vector<std::pair<HostAddress, rpc::Scope>>>;
    using RemoteExplain = std::function<kj::Promise<bool>(const HostAddress &, rpc::Scope)>;
    /**
     * Asks the other balancers of the zone, then one gateway of each other zone, until one knows the answer.
     *
     * @return whether one of them knew it
     */
    kj::Promise<bool> explainAtOtherBalancers(rpc::Scope scope, const RemoteExplain &explain);
    kj::Promise<bool> explainAtNext(const HostList &hosts, std::size_t index, const RemoteExplain &explain);

    HostAddress operatorAddress(const HostAddress &peer) const;
    /**
     * Sends an explain request to another balancer and copies its answer.
     *
     * @return whether the balancer knew the answer; false if the call failed
     */
    template<typename Request>
    kj::Promise<bool> sendExplainRequest(kj::Own<capnp::EzRpcClient> client, Request request,
                                         rpc::Explanation::Builder builder);
    template<typename T>
    kj::Promise<T> withTimeout(kj::Promise<T> promise);

    OperatorEndpoint endpoint_;
    TaskSenders senders_;
    kj::Timer *timer_ = nullptr;
};

} // namespace poplarroad

#endif
