#include "packetfixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace poplarroad;
using namespace poplarroad::test;

TEST_CASE("a balancer without state of a flow forwards its packets to the same target")
{
    FlowRouter first = routerWith({ listed(1), listed(2), listed(3) });
    FlowRouter second = routerWith({ listed(1), listed(2), listed(3) });
    Caller caller(first, 1000);
    const TargetId target = targetOf(caller.open(at(0)));
    REQUIRE(target.value != 0);
    Packet data = caller.packet;
    data.length = 300;
    CHECK(targetOf(second.onPacket(data, at(10))) == target);
}

TEST_CASE("a retransmitted opening packet goes to another target, since the first one did not answer in time")
{
    FlowRouter router = routerWith({ listed(1), listed(2) });
    Caller caller(router, 1000);
    const TargetId first = targetOf(caller.open(at(0)));
    const TargetId second = targetOf(caller.open(at(200), 1));
    CHECK(second.value != 0);
    CHECK(second != first);
}

TEST_CASE("new flows are balanced evenly over the targets of the own zone")
{
    FlowRouter router = routerWith({ listed(1), listed(2), listed(3), listed(4, otherZone) });
    std::map<TargetId, int> counts;
    for (std::uint16_t port = 0; port < 30; ++port) {
        Caller caller(router, port);
        const TargetId target = targetOf(caller.open(at(port)));
        caller.request(at(port));
        caller.acknowledge(at(port));
        ++counts[target];
    }
    CHECK(counts[TargetId{ 1 }] == 10);
    CHECK(counts[TargetId{ 2 }] == 10);
    CHECK(counts[TargetId{ 3 }] == 10);
}

TEST_CASE("the choice of a target takes the load that other balancers report into account")
{
    FlowRouter router = routerWith({ listed(1), listed(2) });
    router.onPeerReport({ 0x0a000001, 7000 }, LoadReport{ { { TargetId{ 1 }, 20, 3, 0, 10 } } }, at(0));
    for (std::uint16_t port = 0; port < 3; ++port) {
        Caller caller(router, port);
        CHECK(targetOf(caller.open(at(port))) == TargetId{ 2 });
        caller.request(at(port));
        caller.acknowledge(at(port));
    }
}

TEST_CASE("a draining target keeps its flows and gets no new ones")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller caller(router, 1000);
    REQUIRE(targetOf(caller.open(at(0))) == TargetId{ 1 });
    TargetChange draining = listed(1);
    draining.target.target.state = TargetState::Draining;
    router.setTargets({ draining, listed(2) }, false, at(10));
    CHECK(targetOf(caller.request(at(20))) == TargetId{ 1 });
    Caller next(router, 1001);
    CHECK(targetOf(next.open(at(30))) == TargetId{ 2 });
}

TEST_CASE("flows of a target that is gone are reset, including idle ones")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller caller(router, 1000);
    caller.open(at(0));
    caller.request(at(5));
    caller.acknowledge(at(50));
    router.setTargets({ gone(1), listed(2) }, false, at(1000));
    std::vector<ResetFlow> resets;
    router.onTimer(at(1000), resets);
    REQUIRE(resets.size() == 1);
    CHECK(resets.front().flow == caller.packet.flow);
    CHECK(resets.front().sequence == caller.packet.acknowledged);
    CHECK(resets.front().reason == ResetReason::TargetGone);
    CHECK(reasonOf(caller.request(at(1010))) == ResetReason::TargetGone);
}

// Guards against open flows of a live target that are reset because a list lacks its entry.
TEST_CASE("flows of a target that answers are kept though its entry is gone, until it no longer answers")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller busy(router, 1000);
    Caller idle(router, 1001);
    for (Caller *caller : { &busy, &idle }) {
        caller->open(at(0));
        caller->request(at(5));
        caller->acknowledge(at(50));
    }
    TargetChange expired = listed(1);
    expired.listing = ListingState::Expired;
    router.setTargets({ expired, listed(2) }, false, at(100));
    for (int time = 300; time <= 2200; time += 300) {
        busy.request(at(time));
        busy.acknowledge(at(time + 50));
    }
    router.setTargets({ gone(1) }, false, at(2300));
    std::vector<ResetFlow> resets;
    router.onTimer(at(2300), resets);
    CHECK(resets.empty());
    CHECK(targetOf(busy.request(at(2400))) == TargetId{ 1 });
    CHECK(targetOf(idle.request(at(2400))) == TargetId{ 1 });
    Caller opening(router, 1002);
    CHECK(targetOf(opening.open(at(2410))) == TargetId{ 2 });
    busy.acknowledge(at(2450));
    CHECK(router.nextTimer() <= at(2600));
    router.onTimer(at(3400), resets);
    CHECK(resets.empty());
    router.onTimer(at(3500), resets);
    CHECK(resets.size() == 2);
    CHECK(reasonOf(busy.request(at(3510))) == ResetReason::TargetGone);
}

// Guards against flows that wait at a target that ended, since answers from before its end seem to contradict the list.
TEST_CASE("an answer that was on its way when the entry disappeared does not keep the flows of a target")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller caller(router, 1000);
    caller.open(at(0));
    caller.request(at(950));
    router.setTargets({ gone(1), listed(2) }, false, at(1000));
    std::vector<ResetFlow> resets;
    router.onTimer(at(1000), resets);
    CHECK(resets.size() == 1);
    CHECK(reasonOf(caller.acknowledge(at(1005))) == ResetReason::TargetGone);
}

TEST_CASE("flows of a silent target are reset, except those that wait for a non-idempotent request")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller idempotent(router, 1000);
    Caller waiting(router, 1001, nonIdempotentRoute);
    Caller idle(router, 1002, nonIdempotentRoute);
    for (Caller *caller : { &idempotent, &waiting, &idle }) {
        caller->open(at(0));
        caller->request(at(5));
        caller->acknowledge(at(50));
    }
    idempotent.request(at(100));
    waiting.request(at(100));
    for (const int time : { 300, 700 }) {
        idempotent.retransmit(at(time));
        waiting.retransmit(at(time));
    }
    std::vector<ResetFlow> resets;
    router.onTimer(at(700), resets);
    const auto isReset = [&](const Caller &caller) {
        return std::any_of(resets.begin(), resets.end(),
                           [&](const ResetFlow &reset) { return reset.flow == caller.packet.flow; });
    };
    CHECK(isReset(idle));
    CHECK_FALSE(isReset(waiting));
    CHECK(router.targets().at(*router.targets().find(TargetId{ 1 })).detector.liveness() == TargetLiveness::Silent);
}

TEST_CASE("a silent target gets single trial flows, and regular new flows once it answers again")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller first(router, 1000);
    Caller second(router, 1001);
    for (Caller *caller : { &first, &second }) {
        caller->open(at(0));
        caller->request(at(5));
    }
    for (const int time : { 205, 605 }) {
        first.retransmit(at(time));
        second.retransmit(at(time));
    }
    REQUIRE(router.targets().at(*router.targets().find(TargetId{ 1 })).detector.liveness() == TargetLiveness::Silent);
    router.setTargets({ listed(2) }, false, at(610));
    std::uint16_t port = 2000;
    const auto opened = [&](int time) {
        Caller caller(router, port++);
        return targetOf(caller.open(at(time)));
    };
    CHECK(opened(700) == TargetId{ 2 });
    CHECK(opened(2700) == TargetId{ 1 });
    CHECK(opened(2710) == TargetId{ 2 });
    Caller trial(router, 3000);
    REQUIRE(targetOf(trial.open(at(5000))) == TargetId{ 1 });
    trial.request(at(5003));
    CHECK(router.targets().at(*router.targets().find(TargetId{ 1 })).detector.liveness() == TargetLiveness::Answering);
    int flowsAtReturned = 0;
    for (int time = 5010; time < 5030; ++time) {
        Caller caller(router, port++);
        flowsAtReturned += targetOf(caller.open(at(time))) == TargetId{ 1 } ? 1 : 0;
        caller.request(at(time));
        caller.acknowledge(at(time));
    }
    CHECK(flowsAtReturned > 5);
}

TEST_CASE("the first packet of a flow that moved from another balancer does not count as progress of its target")
{
    FlowRouter router = routerWith({ listed(1) });
    std::vector<Packet> flows;
    for (std::uint16_t port = 1000; port < 1003; ++port) {
        Packet packet;
        packet.flow = flowOf(port);
        packet.tag = packetTagOf(TargetId{ 1 });
        packet.sequence = 100;
        packet.acknowledged = 5000;
        packet.length = 300;
        flows.push_back(packet);
    }
    for (const int time : { 0, 200, 600 }) {
        router.onPacket(flows[0], at(time));
        router.onPacket(flows[1], at(time));
    }
    router.onPacket(flows[2], at(610));
    CHECK(router.targets().at(*router.targets().find(TargetId{ 1 })).detector.liveness() == TargetLiveness::Silent);
}

TEST_CASE("a slow answer to one flow resets no flow while other flows of the target make progress")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller slow(router, 1000);
    Caller quick(router, 1001);
    slow.open(at(0));
    quick.open(at(0));
    slow.request(at(5));
    for (int time = 10; time < 1400; time += 100) {
        quick.request(at(time));
        quick.acknowledge(at(time + 40));
        if (time == 210 || time == 610) {
            CHECK(targetOf(slow.retransmit(at(time))) == TargetId{ 1 });
        }
    }
    std::vector<ResetFlow> resets;
    router.onTimer(at(1400), resets);
    CHECK(resets.empty());
}

TEST_CASE("without services the next timer lies in the future, so the timer does not run in a busy loop")
{
    FlowRouter router(ownZone, 1);
    std::vector<ResetFlow> resets;
    router.onTimer(start, resets);
    CHECK(router.nextTimer() >= at(100));
}

TEST_CASE("packets for a route that never existed are dropped, those for a removed route are reset")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller unknown(router, 1000, { 0xc6120001, 9 });
    CHECK(std::get<DropPacket>(unknown.open(at(0))).reason == DropReason::UnknownRoute);
    auto fewer = services(2);
    fewer->routes.erase(route);
    router.setServices(fewer);
    Caller removed(router, 1001);
    CHECK(reasonOf(removed.open(at(10))) == ResetReason::RouteRemoved);
    router.setServices(services(3));
    CHECK(targetOf(removed.open(at(20))) == TargetId{ 1 });
}

TEST_CASE("a packet with an unknown tag is dropped")
{
    FlowRouter router = routerWith({ listed(1) });
    Packet forged;
    forged.flow = flowOf(1000);
    forged.tag = PacketTag{ 0xdeadbeef };
    forged.length = 10;
    CHECK(std::get<DropPacket>(router.onPacket(forged, at(0))).reason == DropReason::UnknownTag);
}

namespace
{

/** @return an entry with an ID of its own whose packets carry the number 7 */
TargetChange numbered(std::uint64_t id, const std::string &name, std::uint32_t ip = 0x0a000007)
{
    TargetChange change = listed(id);
    change.target.target.name = name;
    change.target.target.number = 7;
    change.target.target.address = { ip, 8080 };
    change.target.instance = 1;
    return change;
}

} // namespace

TEST_CASE("of two entries with the same number the one that is known for longer gets the new flows")
{
    FlowRouter router = routerWith({ numbered(1, "i-7") });
    router.setTargets({ numbered(2, "7") }, false, at(10));
    for (std::uint16_t port = 0; port < 3; ++port) {
        CHECK(targetOf(Caller(router, port).open(at(20))) == TargetId{ 1 });
    }
    // A balancer that starts sees both at once, and the shorter name decides.
    FlowRouter started = routerWith({ numbered(1, "i-7"), numbered(2, "audit-i-7") });
    for (std::uint16_t port = 0; port < 3; ++port) {
        CHECK(targetOf(Caller(started, port).open(at(20))) == TargetId{ 1 });
    }
}

TEST_CASE("the deletion of a copy of an entry resets no flow, as its process is still listed")
{
    FlowRouter router = routerWith({ numbered(1, "i-7"), numbered(2, "7") });
    Caller caller(router, 1000);
    REQUIRE(targetOf(caller.open(at(0))) == TargetId{ 2 });
    caller.request(at(5));
    caller.acknowledge(at(50));
    TargetChange removed = numbered(2, "7");
    removed.listing = ListingState::Gone;
    router.setTargets({ removed }, false, at(100));
    std::vector<ResetFlow> resets;
    router.onTimer(at(100), resets);
    CHECK(resets.empty());
    CHECK(targetOf(caller.request(at(110))) == TargetId{ 1 });
    router.setTargets({ gone(1) }, false, at(200));
    router.onTimer(at(200), resets);
    CHECK(resets.size() == 1);
}

TEST_CASE("a process that drains under one of its names gets no new flows under the other")
{
    FlowRouter router = routerWith({ numbered(1, "i-7"), numbered(2, "7"), listed(3, otherZone) });
    TargetChange draining = numbered(1, "i-7");
    draining.target.target.state = TargetState::Draining;
    router.setTargets({ draining }, false, at(10));
    CHECK(targetOf(Caller(router, 1).open(at(20))) == TargetId{ 3 });
}

TEST_CASE("a number that comes again in another entry does not take over the flows of the earlier target")
{
    FlowRouter router = routerWith({ numbered(1, "i-7") });
    Caller caller(router, 1000);
    REQUIRE(targetOf(caller.open(at(0))) == TargetId{ 1 });
    caller.request(at(5));
    caller.acknowledge(at(50));
    TargetChange removed = numbered(1, "i-7");
    removed.listing = ListingState::Gone;
    router.setTargets({ removed, numbered(2, "j-7", 0x0a000063) }, false, at(100));
    CHECK(reasonOf(caller.request(at(110))) == ResetReason::TargetGone);
    CHECK(targetOf(Caller(router, 1001).open(at(120))) == TargetId{ 2 });
}

TEST_CASE("an established flow keeps its target after a change of its route")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller caller(router, 1000);
    caller.open(at(0));
    auto moved = services(2);
    moved->routes[route].services = { { serviceIdOf("photos"), 1 } };
    router.setServices(moved);
    CHECK(targetOf(caller.request(at(10))) == TargetId{ 1 });
}

TEST_CASE("under overload flows of normal urgency are rejected and flows of high urgency are still admitted")
{
    FlowRouter router = routerWith({ listed(1, ownZone, 1) });
    std::uint16_t port = 0;
    std::optional<PacketDecision> rejected;
    while (!rejected && port < 50) {
        Caller normal(router, port++);
        PacketDecision decision = normal.open(at(0));
        if (std::holds_alternative<ResetFlow>(decision)) {
            rejected = decision;
        }
    }
    REQUIRE(rejected);
    CHECK(reasonOf(*rejected) == ResetReason::Overload);
    Caller urgent(router, 2000, nonIdempotentRoute);
    CHECK(targetOf(urgent.open(at(1))) == TargetId{ 1 });
}

TEST_CASE("idle flows are removed and no longer counted at their target")
{
    FlowRouter router = routerWith({ listed(1) });
    Caller caller(router, 1000);
    caller.open(at(0));
    std::vector<ResetFlow> resets;
    router.onTimer(at(30000), resets);
    CHECK(router.flows() == 0);
    CHECK(resets.empty());
    CHECK(router.targets().at(*router.targets().find(TargetId{ 1 })).flows == 0);
}

TEST_CASE("flows keep their target while other targets are added, drained and removed at random")
{
    SeededRandom random(7);
    FlowRouter router = routerWith({ listed(1), listed(2) });
    Caller caller(router, 1000);
    const TargetId target = targetOf(caller.open(at(0)));
    for (int step = 1; step < 2000; ++step) {
        const std::uint64_t id = 3 + random.nextBelow(20);
        TargetChange change = random.nextBelow(3) == 0 ? gone(id) : listed(id);
        change.target.target.state = random.nextBelow(2) == 0 ? TargetState::Active : TargetState::Draining;
        router.setTargets({ change }, false, at(step));
        CHECK(targetOf(caller.request(at(step))) == target);
        CHECK(targetOf(caller.acknowledge(at(step))) == target);
        std::vector<ResetFlow> resets;
        router.onTimer(at(step), resets);
        CHECK(resets.empty());
    }
}

// Load pattern: another zone is cut off while callers keep many flows with pauses at the targets of the own zone.
TEST_CASE("flows that wait at silent targets do not make the idle flows of other targets seem busy")
{
    FlowRouter router = routerWith({ listed(1), listed(101, otherZone), listed(102, otherZone) });
    router.enableComparison();
    const auto openedElsewhere = [&](std::uint64_t target, std::uint16_t port, const HostAddress &service) {
        Caller caller(router, port, service);
        caller.packet.tag = packetTagOf(TargetId{ target });
        caller.packet.acknowledged = 5000;
        caller.request(at(0));
        return caller;
    };
    for (std::uint16_t port = 0; port < 10; ++port) {
        openedElsewhere(1, port, route).acknowledge(at(30));
    }
    std::vector<Caller> waiting;
    for (std::uint16_t port = 100; port < 108; ++port) {
        // Kept, although the target is silent: it may still answer.
        waiting.push_back(openedElsewhere(101, port, nonIdempotentRoute));
    }
    for (const int time : { 200, 600 }) {
        for (Caller &caller : waiting) {
            caller.retransmit(at(time));
        }
    }
    Caller opening(router, 200);
    CHECK(targetOf(opening.open(at(610))) == TargetId{ 1 });
}

// Load pattern: all balancers lose power and return; the openings and requests of the outage were given up silently.
TEST_CASE("callers that gave up without a packet no longer count as work of the target")
{
    FlowRouter router = routerWith({ listed(1), listed(2) });
    for (std::uint16_t port = 0; port < 5; ++port) {
        Caller(router, port).open(at(0));
    }
    Caller answered(router, 100);
    answered.open(at(0));
    answered.request(at(10));
    const auto busy = [&] {
        std::uint32_t sum = 0;
        for (const auto &[id, index] : router.targets().byId()) {
            sum += router.targets().at(index).busyFlows;
        }
        return sum;
    };
    std::vector<ResetFlow> resets;
    router.onTimer(at(1000), resets);
    CHECK(busy() == 6);
    // The deadline of the route is 1.2 s; an opening is given up after 1.4 s.
    router.onTimer(at(2100), resets);
    CHECK(busy() == 0);
    CHECK(router.flows() == 1);
    CHECK(resets.empty());
}
