// Load pattern: flows arrive at a balancer whose evidence against their targets is old, from before a cut, a freeze or a
// time without own traffic.

#include "packetfixture.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::test;

namespace
{

/** A flow that another balancer opened at the target; its packets reach the router of the test for the first time. */
Caller arrivingFlow(FlowRouter &router, std::uint16_t port, HostAddress service = route)
{
    Caller caller(router, port, service);
    caller.packet.tag = packetTagOf(TargetId{ 1 });
    caller.packet.acknowledged = 5000;
    return caller;
}

TargetLiveness livenessOf(const FlowRouter &router)
{
    return router.targets().at(*router.targets().find(TargetId{ 1 })).detector.liveness();
}

/** @return a router that saw target 1 silent at 600 ms, and the flows that showed it ended */
FlowRouter routerWithSilentTarget()
{
    FlowRouter router = routerWith({ listed(1), listed(2) });
    std::vector<Caller> callers;
    for (std::uint16_t port = 1000; port < 1002; ++port) {
        callers.push_back(arrivingFlow(router, port));
        callers.back().request(at(0));
    }
    for (const int time : { 200, 600 }) {
        for (Caller &caller : callers) {
            caller.retransmit(at(time));
        }
    }
    REQUIRE(livenessOf(router) == TargetLiveness::Silent);
    std::vector<ResetFlow> resets;
    router.onTimer(at(600), resets);
    CHECK(resets.size() == 2);
    return router;
}

bool isForwarded(const PacketDecision &decision)
{
    return std::holds_alternative<ForwardPacket>(decision);
}

} // namespace

TEST_CASE("a flow that arrives while its target was just seen silent is reset at once")
{
    FlowRouter router = routerWithSilentTarget();
    CHECK(reasonOf(arrivingFlow(router, 1100).request(at(900))) == ResetReason::TargetSilent);
}

TEST_CASE("a flow that arrives when the silence of its target was seen seconds ago is forwarded")
{
    FlowRouter router = routerWithSilentTarget();
    Caller live = arrivingFlow(router, 1100);
    CHECK(isForwarded(live.request(at(4000))));
    CHECK(isForwarded(live.acknowledge(at(4060))));
    CHECK(livenessOf(router) == TargetLiveness::Answering);
}

TEST_CASE("flows that arrive in a burst after a cut healed are all forwarded to their live target")
{
    FlowRouter router = routerWithSilentTarget();
    for (std::uint16_t port = 1100; port < 1300; ++port) {
        Caller caller = arrivingFlow(router, port);
        CHECK(isForwarded(caller.request(at(5000 + port % 10))));
    }
    std::vector<ResetFlow> resets;
    router.onTimer(at(5100), resets);
    CHECK(resets.empty());
}

TEST_CASE(
    "a target that is still silent is found out by the first flows that arrive, which are then reset like the next")
{
    FlowRouter router = routerWithSilentTarget();
    Caller first = arrivingFlow(router, 1100);
    Caller second = arrivingFlow(router, 1101);
    for (Caller *caller : { &first, &second }) {
        CHECK(isForwarded(caller->request(at(4000))));
        CHECK(isForwarded(caller->retransmit(at(4200))));
    }
    first.retransmit(at(4600));
    CHECK(reasonOf(second.retransmit(at(4600))) == ResetReason::TargetSilent);
    CHECK(reasonOf(arrivingFlow(router, 1102).request(at(4700))) == ResetReason::TargetSilent);
}

TEST_CASE("one slow answer does not confirm an old silence: flows that arrive meanwhile are forwarded")
{
    FlowRouter router = routerWithSilentTarget();
    Caller slow = arrivingFlow(router, 1100);
    for (const int time : { 4000, 4200, 4600 }) {
        CHECK(isForwarded(time == 4000 ? slow.request(at(time)) : slow.retransmit(at(time))));
    }
    CHECK(isForwarded(arrivingFlow(router, 1101).request(at(4700))));
}

TEST_CASE("packets that waited while the balancer was frozen do not make a target silent and reset nothing")
{
    FlowRouter router = routerWith({ listed(1), listed(2) });
    std::vector<Caller> callers;
    for (std::uint16_t port = 1000; port < 1010; ++port) {
        callers.push_back(arrivingFlow(router, port));
        callers.back().request(at(0));
    }
    // Frozen from 1 ms to 5 s: the callers' retransmissions waited in the socket, and other balancers served them.
    router.onPaused(at(5000));
    for (int copy = 0; copy < 2; ++copy) {
        for (Caller &caller : callers) {
            CHECK(isForwarded(caller.retransmit(at(5000 + copy))));
        }
    }
    std::vector<ResetFlow> resets;
    router.onTimer(at(5002), resets);
    CHECK(resets.empty());
    CHECK(livenessOf(router) != TargetLiveness::Silent);
}

TEST_CASE("silence that was seen before a freeze is no ground to reset a flow that arrives after it")
{
    FlowRouter router = routerWithSilentTarget();
    router.onPaused(at(700));
    CHECK(isForwarded(arrivingFlow(router, 1100).request(at(710))));
}

TEST_CASE("a target stays out of use for new flows while its silence is old, except for trials")
{
    FlowRouter router = routerWithSilentTarget();
    int atSilent = 0;
    for (std::uint16_t port = 1100; port < 1120; ++port) {
        Caller caller(router, port);
        atSilent += targetOf(caller.open(at(4000 + port % 20))) == TargetId{ 1 } ? 1 : 0;
    }
    CHECK(atSilent == 1);
}

TEST_CASE("copies of an opening packet that waited together go to one target")
{
    FlowRouter router = routerWith({ listed(1), listed(2), listed(3) });
    Caller caller(router, 1000);
    const TargetId first = targetOf(caller.open(at(0)));
    CHECK(targetOf(caller.open(at(1), 1)) == first);
    CHECK(targetOf(caller.open(at(2), 2)) == first);
    CHECK(targetOf(caller.open(at(200), 2)) != first);
}
