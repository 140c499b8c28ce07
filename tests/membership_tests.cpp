#include "membershipnetwork.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

MembershipNetwork settledZone(std::uint64_t seed, unsigned hosts)
{
    MembershipNetwork network(seed);
    network.startZone(0, hosts);
    REQUIRE(network.runUntil(10s, [&] { return network.viewsAgree(0); }));
    network.runFor(3s);
    return network;
}

/** Kills a host of a settled zone and returns the time until it is dead in every view. */
Milliseconds timeUntilDead(std::uint64_t seed, unsigned hosts, double loss)
{
    MembershipNetwork network = settledZone(seed, hosts);
    network.loss = loss;
    network.runFor(Milliseconds(seed * 37 % 1000));
    auto &victim = network.node(0, static_cast<unsigned>(seed % hosts));
    network.kill(victim);
    const auto took = network.runUntil(20s, [&] { return network.hasStateInAllViews(victim, HostState::Dead); });
    REQUIRE(took);
    return *took;
}

} // namespace

TEST_CASE("a killed host is dead in all views within 2.5 s")
{
    for (const unsigned hosts : { 2U, 3U, 8U, 32U, 128U }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(hosts, seed);
            CHECK(timeUntilDead(seed, hosts, 0.0) <= 2500ms);
        }
    }
}

TEST_CASE("a killed host is dead in all views within 3 s when 20% of the datagrams are lost")
{
    for (const unsigned hosts : { 2U, 8U, 32U }) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(hosts, seed);
            CHECK(timeUntilDead(seed, hosts, 0.2) <= 3000ms);
        }
    }
}

TEST_CASE("a live host is falsely dead for less than 3 s when 20% of the datagrams are lost")
{
    MembershipNetwork network = settledZone(11, 8);
    network.loss = 0.2;
    std::size_t samples = 0;
    std::size_t falseSamples = 0;
    for (int i = 0; i < 36000; ++i) {
        network.runFor(100ms);
        ++samples;
        if (network.falseDeaths() > 0) {
            ++falseSamples;
            REQUIRE(network.runUntil(3s, [&] { return network.falseDeaths() == 0; }));
        }
    }
    std::uint64_t deaths = 0;
    for (const auto &[hostAddress, node] : network.nodes()) {
        deaths += node.membership->status().deaths;
    }
    WARN("seed 11, 8 hosts, 1 h, 20% loss: " << deaths << " false deaths declared, present in " << falseSamples
                                             << " of " << samples << " samples");
}

TEST_CASE("a host without reachable peers joins alone within 2 s")
{
    MembershipNetwork network(5);
    network.start(0, 0, {});
    network.start(1, 0, { MembershipNetwork::address(1, 7) });
    network.runFor(2s);
    CHECK(network.node(0, 0).membership->view()->joined);
    CHECK(network.node(1, 0).membership->view()->joined);
    CHECK(network.node(1, 0).membership->view()->hosts.size() == 1);
}

TEST_CASE("a paused host rejoins under a new incarnation before it uses its view")
{
    for (const unsigned hosts : { 2U, 8U }) {
        MembershipNetwork network = settledZone(3, hosts);
        auto &paused = network.node(0, 1);
        const Incarnation before = paused.identity.incarnation;
        network.pause(paused);
        REQUIRE(network.runUntil(4s, [&] { return network.hasStateInAllViews(paused, HostState::Dead); }));
        network.runFor(5s);
        network.resume(paused);
        REQUIRE_FALSE(paused.membership->view()->joined);
        CHECK(network.falseDeaths() == hosts - 1);
        network.drawIncarnation(paused);
        REQUIRE_FALSE(paused.membership->view()->joined);
        CHECK(paused.membership->view()->incarnation != before);
        REQUIRE(network.runUntil(3s, [&] { return paused.membership->view()->joined; }));
        bool known = false;
        for (const auto &[hostAddress, node] : network.nodes()) {
            const HostRecord *record = node.membership->view()->findHost(paused.identity.address);
            known =
                known || (hostAddress != paused.identity.address && record->incarnation == paused.identity.incarnation);
        }
        CHECK(known);
        CHECK(network.runUntil(3s, [&] { return network.viewsAgree(0); }));
    }
}

TEST_CASE("a leaving host is leaving in all views within 1 s")
{
    for (const unsigned hosts : { 2U, 8U, 128U, 440U }) {
        MembershipNetwork network = settledZone(4, hosts);
        auto &leaver = network.node(0, 0);
        network.leave(leaver);
        CHECK(leaver.membership->view()->leaving);
        CAPTURE(hosts);
        CHECK(network.runUntil(1s, [&] { return network.hasStateInAllViews(leaver, HostState::Leaving); }));
        network.kill(leaver);
        CHECK(network.runUntil(4s, [&] { return network.hasStateInAllViews(leaver, HostState::Dead); }));
    }
}

TEST_CASE("a restarted host replaces the earlier process at its address in all views")
{
    for (const bool quick : { true, false }) {
        MembershipNetwork network = settledZone(6, 8);
        network.kill(network.node(0, 3));
        network.runFor(quick ? 100ms : 6s);
        network.start(0, 3, { MembershipNetwork::address(0, 0) });
        CAPTURE(quick);
        CHECK(network.runUntil(3s, [&] { return network.viewsAgree(0); }));
    }
}

TEST_CASE("two hosts that fail at the same time are both declared dead")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        MembershipNetwork network = settledZone(seed, 8);
        auto &a = network.node(0, seed % 8);
        auto &b = network.node(0, (seed + 1 + seed / 8) % 8);
        network.kill(a);
        network.kill(b);
        CAPTURE(seed);
        CHECK(network.runUntil(3500ms, [&] {
            return network.hasStateInAllViews(a, HostState::Dead) && network.hasStateInAllViews(b, HostState::Dead);
        }));
        CHECK(network.viewsAgree(0));
    }
}

TEST_CASE("the views of a zone converge after a network partition heals")
{
    for (const unsigned hosts : { 2U, 8U, 64U }) {
        MembershipNetwork network = settledZone(8, hosts);
        const auto side = [&](const MembershipNetwork::Node &node) { return (node.identity.address.ip & 1U) != 0; };
        network.isPartitioned = [&](const auto &from, const auto &to) { return side(from) != side(to); };
        network.runFor(60s);
        CHECK(network.falseDeaths() == std::size_t{ hosts } * (hosts / 2));
        network.isPartitioned = nullptr;
        CAPTURE(hosts);
        CHECK(network.runUntil(5s, [&] { return network.viewsAgree(0); }));
    }
}

TEST_CASE("every host of two zones detects a partition between them, and its end")
{
    MembershipNetwork network(9);
    network.startZone(0, 8);
    network.startZone(1, 8);
    network.delay = 4ms;
    const auto allReach = [&](bool reachable) {
        for (const auto &[hostAddress, node] : network.nodes()) {
            const ZoneId other{ 1 - node.identity.zone.value };
            const auto view = node.membership->view();
            const ZoneSummary *summary = view->findZone(other);
            if (summary == nullptr || summary->reachable != reachable) {
                return false;
            }
        }
        return true;
    };
    REQUIRE(network.runUntil(10s, [&] { return allReach(true); }));
    network.runFor(5s);
    CHECK(network.node(1, 2).membership->view()->findZone({ 0 })->liveHosts == 8);
    CHECK(network.node(1, 2).membership->view()->findZone({ 0 })->gateways.size() == 2);
    network.isPartitioned = [](const auto &from, const auto &to) { return from.identity.zone != to.identity.zone; };
    CHECK(network.runUntil(6s, [&] { return allReach(false); }));
    CHECK(network.viewsAgree(0));
    CHECK(network.viewsAgree(1));
    network.isPartitioned = nullptr;
    CHECK(network.runUntil(3s, [&] { return allReach(true); }));
}

TEST_CASE("a newer configuration revision is detected in the own zone and in other zones")
{
    MembershipNetwork network(10);
    network.startZone(0, 8);
    network.startZone(1, 8);
    network.runFor(10s);
    network.node(0, 5).membership->setRevision({ 7 });
    network.runFor(1s);
    std::size_t noticed = 0;
    for (const auto &[hostAddress, node] : network.nodes()) {
        noticed += node.revisionsSeen.empty() ? 0 : 1;
    }
    CHECK(noticed >= 1);
    for (auto &[hostAddress, node] : network.nodes()) {
        if (node.identity.zone.value == 0) {
            node.membership->setRevision({ 7 });
        }
    }
    network.runFor(3s);
    for (const auto &[hostAddress, node] : network.nodes()) {
        CHECK((node.identity.zone.value == 0 || !node.revisionsSeen.empty()));
    }
}

TEST_CASE("a host whose seeds are all in another zone joins its own zone")
{
    MembershipNetwork network(12);
    network.startZone(0, 4);
    network.startZone(1, 4);
    network.runFor(10s);
    network.start(1, 4, { MembershipNetwork::address(0, 0), MembershipNetwork::address(0, 1) });
    CHECK(network.runUntil(5s, [&] { return network.viewsAgree(1); }));
}

TEST_CASE("the host list of the platform supplies seeds and changes no state of a host that answers")
{
    MembershipNetwork network(13);
    network.startZone(0, 4);
    network.start(0, 9, {});
    network.runFor(5s);
    auto &alone = network.node(0, 9);
    MembershipActions actions;
    alone.membership->onPlatformHosts({ MembershipNetwork::address(0, 1) }, { MembershipNetwork::address(0, 2) },
                                      network.now(), actions);
    CHECK(network.runUntil(5s, [&] { return network.viewsAgree(0); }));
}

TEST_CASE("no datagram exceeds 1,200 bytes, however many updates are queued")
{
    MembershipNetwork network(14);
    network.startZone(0, 200);
    REQUIRE(network.runUntil(20s, [&] { return network.viewsAgree(0); }));
    for (const auto &[hostAddress, node] : network.nodes()) {
        CHECK(node.largestDatagram <= 1200);
    }
}

TEST_CASE("no state of a dead member is kept after it is removed")
{
    MembershipNetwork network = settledZone(15, 4);
    auto &victim = network.node(0, 3);
    auto &viewer = network.node(0, 1);
    network.kill(victim);
    REQUIRE(network.runUntil(5s, [&] { return network.hasStateInAllViews(victim, HostState::Dead); }));
    // A balancer that reports the dead member as alive makes this one probe the member.
    HostRecord reported = *viewer.membership->view()->findHost(victim.identity.address);
    reported.state = HostState::Alive;
    MembershipActions actions;
    viewer.membership->onDatagram(network.node(0, 2).identity, Ping{ 1, {}, { { reported } }, false, 0 }, network.now(),
                                  actions);
    REQUIRE(viewer.membership->status().trackedDeadMembers == 1);
    network.runFor(11min);
    CHECK(viewer.membership->view()->findHost(victim.identity.address) == nullptr);
    CHECK(viewer.membership->status().trackedDeadMembers == 0);
}
