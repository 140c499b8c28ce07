#include "host/operatortask.h"
#include "operator.capnp.h"

#include <capnp/ez-rpc.h>
#include <catch2/catch.hpp>

#include <atomic>

using namespace poplarroad;

namespace
{

constexpr std::uint16_t PeerPort = 17400;
const HostAddress self{ 0x7f000001, PeerPort };
const HostAddress operatorAddress{ 0x7f000001, PeerPort + 1 };

Configuration declaredConfiguration()
{
    Contract bid;
    bid.name = "bid";
    bid.kind = kindIdOf("bid");
    bid.idempotent = false;
    Target target;
    target.name = "stock-1";
    target.service = serviceIdOf("stock");
    target.zone = zoneIdOf("norte");
    target.address = { 0x7f000001, 21001 };
    ConfigurationBuilder builder;
    builder.zone("norte").service("stock", { bid }).target(target).revision(Revision{ 7 });
    return *builder.build();
}

/** Replaces the other tasks and replies to the queries of the operator task. */
struct FakeTasks
{
    ConfigurationPtr configuration = std::make_shared<Configuration>(declaredConfiguration());
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::atomic<int> changes = 0;
    std::optional<ChangeRequest> lastChange;
    ChangeOutcome nextOutcome{ ChangeResult::Accepted, Revision{ 8 }, "" };

    FakeTasks()
    {
        view->self = self;
        view->zone = zoneIdOf("norte");
        view->hosts = { HostRecord{ self, Incarnation{ 1 }, HostState::Alive },
                        HostRecord{ HostAddress{ 0x7f000001, 17500 }, Incarnation{ 2 }, HostState::Alive } };
    }

    TaskSenders senders()
    {
        TaskSenders senders;
        senders.toConfig = [this](ConfigTaskMessage message) {
            if (auto *query = std::get_if<ConfigStatusQuery>(&message)) {
                query->reply(configuration, true);
            } else if (auto *change = std::get_if<OperatorChange>(&message)) {
                ++changes;
                lastChange = change->request;
                change->reply(nextOutcome);
            }
        };
        senders.toPeers = [this](PeerTaskMessage message) {
            std::get<MembershipStatusQuery>(message).reply(view, MembershipStatus{});
        };
        senders.toDispatch = [](DispatchTaskMessage message) {
            if (auto *query = std::get_if<DispatchStatusQuery>(&message)) {
                query->reply(DispatchStatus{});
            } else if (auto *flow = std::get_if<ExplainFlowQuery>(&message)) {
                flow->reply(
                    FlowExplanation{ flow->flow, flow->flow.value == 5, targetIdOf("stock-1"), { "least work" } });
            }
        };
        senders.toCallers = [](CallerTaskMessage message) {
            std::get<RouterStatusQuery>(message).reply(RouterStatus{});
        };
        return senders;
    }
};

struct Fixture
{
    FakeTasks tasks;
    OperatorTask task{ OperatorEndpoint{ operatorAddress, 1 }, tasks.senders() };
    bool started = task.start();
    capnp::EzRpcClient client{ toString(operatorAddress) };
    rpc::Operator::Client daemon = client.getMain<rpc::Operator>();
};

} // namespace

TEST_CASE("a change is submitted with its base revision and id, so that a retried call is recognised")
{
    Fixture fixture;
    REQUIRE(fixture.started);
    auto request = fixture.daemon.applyRequest();
    auto change = request.initChange();
    change.setBasedOn(7);
    change.setChangeId("c-1");
    change.initEdit().setDrainTarget("stock-1");
    const auto response = request.send().wait(fixture.client.getWaitScope());
    CHECK(response.getOutcome().getResult() == rpc::ChangeResult::ACCEPTED);
    CHECK(response.getOutcome().getRevision() == 8);
    REQUIRE(fixture.tasks.lastChange);
    CHECK(fixture.tasks.lastChange->basedOn == Revision{ 7 });
    CHECK(fixture.tasks.lastChange->changeId == "c-1");
    CHECK(fixture.tasks.lastChange->edit == ConfigEdit(SetTargetState{ targetIdOf("stock-1"), TargetState::Draining }));
}

TEST_CASE("an invalid edit is refused with its field and the expected format, and is not submitted")
{
    Fixture fixture;
    REQUIRE(fixture.started);
    auto request = fixture.daemon.applyRequest();
    request.initChange().setChangeId("c-1");
    auto target = request.getChange().initEdit().initPutTarget();
    target.setName("t");
    target.setAddress("nonsense");
    const auto response = request.send().wait(fixture.client.getWaitScope());
    CHECK(response.getOutcome().getResult() == rpc::ChangeResult::REFUSED);
    const std::string detail = response.getOutcome().getDetail().cStr();
    CHECK(detail.find("address \"nonsense\"") != std::string::npos);
    CHECK(detail.find("a.b.c.d:port") != std::string::npos);
    CHECK(fixture.tasks.changes == 0);
}

TEST_CASE("a balancer that does not answer is listed with its membership state and does not block the zone status")
{
    Fixture fixture;
    REQUIRE(fixture.started);
    const auto response = fixture.daemon.zoneStatusRequest().send().wait(fixture.client.getWaitScope());
    const auto balancers = response.getStatus().getBalancers();
    REQUIRE(balancers.size() == 2);
    CHECK(balancers[0].getAnswered());
    CHECK(balancers[0].getRevision() == 7);
    CHECK_FALSE(balancers[1].getAnswered());
    CHECK(response.getStatus().getRevision() == 7);
}

TEST_CASE("explainFlow returns the target of a known flow and reports an unknown flow")
{
    Fixture fixture;
    REQUIRE(fixture.started);
    auto known = fixture.daemon.explainFlowRequest();
    known.setFlow(5);
    const auto response = known.send().wait(fixture.client.getWaitScope());
    CHECK(response.getExplanation().getKnown());
    CHECK(std::string(response.getExplanation().getTarget().cStr()) == "stock-1");
    CHECK(response.getExplanation().getReasons().size() == 1);
    auto unknown = fixture.daemon.explainFlowRequest();
    unknown.setFlow(6);
    unknown.setScope(rpc::Scope::FLEET);
    CHECK_FALSE(unknown.send().wait(fixture.client.getWaitScope()).getExplanation().getKnown());
}
