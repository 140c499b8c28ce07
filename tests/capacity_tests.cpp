#include "../benchmark/measure.h"
#include "dispatcherload.h"
#include "largeconfiguration.h"
#include "membershipnetwork.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

// Budgets of one daemon, docs/design.md 1.4.
constexpr double ControlBytesPerSecond = 5000.0;
constexpr double ControlMemoryBytes = 64e6;
constexpr unsigned ZoneCount = 25;

} // namespace

TEST_CASE("the control traffic of a member stays within its budget with up to 440 hosts in its zone and 25 zones")
{
    for (const unsigned hosts : { 8U, 128U, 440U }) {
        MembershipNetwork network(1);
        network.startZones(hosts, ZoneCount);
        network.runUntil(30s, [&] { return network.viewsAgree(0); });
        // A daemon discovers one zone per second through its seeds; the budget applies to the traffic after that.
        network.runFor(30s);
        for (auto &[place, node] : network.nodes()) {
            node.bytes = 0;
        }
        network.runFor(20s);
        std::uint64_t bytes = 0;
        std::size_t reachableZones = 0;
        for (const auto &[place, node] : network.nodes()) {
            if (node.identity.zone == ZoneId{ 0 }) {
                bytes += node.bytes;
                for (const ZoneSummary &zone : node.membership->view()->otherZones) {
                    reachableZones += zone.reachable ? 1 : 0;
                }
            }
        }
        CAPTURE(hosts);
        CHECK(static_cast<double>(bytes) / (20.0 * hosts) < ControlBytesPerSecond);
        CHECK(reachableZones == std::size_t{ hosts } * (ZoneCount - 1));
    }
}

TEST_CASE("every member detects that one of 25 zones is partitioned and that it is reachable again")
{
    MembershipNetwork network(2);
    network.startZones(40, ZoneCount);
    network.runFor(40s);
    const auto membersSeeing = [&](bool reachable) {
        unsigned count = 0;
        for (const auto &[place, node] : network.nodes()) {
            if (node.identity.zone == ZoneId{ 0 }) {
                const auto view = node.membership->view();
                const ZoneSummary *zone = view->findZone({ 7 });
                count += zone != nullptr && zone->reachable == reachable ? 1 : 0;
            }
        }
        return count;
    };
    REQUIRE(membersSeeing(true) == 40);
    network.isPartitioned = [](const auto &from, const auto &to) {
        return (from.identity.zone == ZoneId{ 7 }) != (to.identity.zone == ZoneId{ 7 });
    };
    CHECK(network.runUntil(8s, [&] { return membersSeeing(false) == 40; }));
    network.runFor(60s);
    CHECK(membersSeeing(false) == 40);
    network.isPartitioned = nullptr;
    CHECK(network.runUntil(5s, [&] { return membersSeeing(true) == 40; }));
}

TEST_CASE("the configuration of 140,000 targets and the members of a zone fit into the memory budget for control")
{
    const std::size_t before = allocatedBytes();
    const auto configuration = std::make_shared<Configuration>(largeConfiguration(140000));
    const std::size_t configured = allocatedBytes();
    MembershipNetwork network(3);
    network.startZones(440, 1);
    network.runUntil(30s, [&] { return network.viewsAgree(0); });
    const double memory =
        static_cast<double>(configured - before) + static_cast<double>(allocatedBytes() - configured) / 440.0;
    CHECK(configuration->targets().size() == 140000);
    CHECK(memory < ControlMemoryBytes);
}

TEST_CASE("300,000 flows with their request records need at most 100 bytes per flow")
{
    const std::size_t before = allocatedBytes();
    DispatcherLoad load(0); // no stored answers; they have their own limit, docs/design.md 3.4.1
    load.openFlows(300000);
    const double bytesPerFlow = static_cast<double>(allocatedBytes() - before) / static_cast<double>(load.flows());
    CAPTURE(load.flows());
    CHECK(load.flows() >= 300000);
    CHECK(bytesPerFlow <= 100.0);
}
