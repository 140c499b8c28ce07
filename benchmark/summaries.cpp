// Cost and delay of the summaries that zones exchange, per daemon in virtual time; prints JSON.
// Arguments: hosts of the measured zone, then numbers of zones; default 8, 128 and 440 hosts with 1 to 25 zones.
// The other zones have 4 hosts each; only daemons of the measured zone are counted.

#include "../tests/membershipnetwork.h"
#include "measure.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned HostsPerOtherZone = MembershipNetwork::HostsOfOtherZones;
constexpr double DatagramLoss = 0.01;
constexpr unsigned MeasuredSeconds = 60;

bool isMeasured(const MembershipNetwork::Node &node)
{
    return node.identity.zone == ZoneId{ 0 };
}

/** @return the number of daemons in the measured zone whose view of `zone` is `reachable` */
std::size_t countViews(MembershipNetwork &network, unsigned zone, bool reachable)
{
    std::size_t count = 0;
    for (const auto &[place, node] : network.nodes()) {
        if (isMeasured(node)) {
            const auto view = node.membership->view();
            const ZoneSummary *summary = view->findZone({ zone });
            count += (summary != nullptr && summary->reachable) == reachable ? 1 : 0;
        }
    }
    return count;
}

/** @return seconds until every host of the measured zone sees the last zone as `reachable`; -1 if not within 60 s */
double secondsUntilSeen(MembershipNetwork &network, unsigned hosts, unsigned zones, bool reachable)
{
    const auto elapsed = network.runUntil(60s, [&] { return countViews(network, zones - 1, reachable) == hosts; });
    return elapsed ? std::chrono::duration<double>(*elapsed).count() : -1.0;
}

nlohmann::json measurePartition(MembershipNetwork &network, unsigned hosts, unsigned zones)
{
    const ZoneId cutZone{ zones - 1 };
    network.isPartitioned = [cutZone](const auto &from, const auto &to) {
        return (from.identity.zone == cutZone) != (to.identity.zone == cutZone);
    };
    const double cutSeconds = secondsUntilSeen(network, hosts, zones, false);
    network.runFor(60s);
    network.isPartitioned = nullptr;
    return { { "cutSeenSeconds", cutSeconds },
             { "healingSeenSeconds", secondsUntilSeen(network, hosts, zones, true) } };
}

/** @return bytes sent by the measured zone since the last call */
std::uint64_t takeBytes(MembershipNetwork &network)
{
    std::uint64_t bytes = 0;
    for (auto &[place, node] : network.nodes()) {
        bytes += isMeasured(node) ? node.bytes : 0;
        node.bytes = 0;
    }
    return bytes;
}

/** Isolates the measured zone for two minutes; measures its traffic during that time and in the worst second after it. */
nlohmann::json measureIsolation(MembershipNetwork &network, unsigned hosts, unsigned zones)
{
    network.isPartitioned = [](const auto &from, const auto &to) {
        return (from.identity.zone == ZoneId{ 0 }) != (to.identity.zone == ZoneId{ 0 });
    };
    takeBytes(network);
    network.runFor(120s);
    const double isolatedRate = static_cast<double>(takeBytes(network)) / 120.0 / hosts;
    network.isPartitioned = nullptr;
    std::uint64_t peak = 0;
    double healedAfter = -1.0;
    for (unsigned second = 1; second <= 30 && healedAfter < 0.0; ++second) {
        network.runFor(1s);
        peak = std::max(peak, takeBytes(network));
        std::size_t lost = 0;
        for (unsigned zone = 1; zone < zones; ++zone) {
            lost += countViews(network, zone, false);
        }
        healedAfter = lost == 0 ? second : healedAfter;
    }
    return { { "isolatedBytesPerSecond", isolatedRate },
             { "worstSecondAfterIsolation", static_cast<double>(peak) / hosts },
             { "allZonesBackSeconds", healedAfter } };
}

nlohmann::json measureTraffic(MembershipNetwork &network, unsigned hosts, unsigned zones)
{
    for (auto &[place, node] : network.nodes()) {
        node.bytes = 0;
        node.datagrams = 0;
    }
    const double begin = processorSeconds();
    std::size_t falselyLost = 0;
    for (unsigned second = 0; second < MeasuredSeconds; ++second) {
        network.runFor(1s);
        for (unsigned zone = 1; zone < zones; ++zone) {
            falselyLost += countViews(network, zone, false);
        }
    }
    const double processor = processorSeconds() - begin;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t busiest = 0;
    for (const auto &[place, node] : network.nodes()) {
        if (isMeasured(node)) {
            bytes += node.bytes;
            datagrams += node.datagrams;
            busiest = std::max(busiest, node.bytes);
        }
    }
    const double daemonSeconds = static_cast<double>(hosts) * MeasuredSeconds;
    const double samples = daemonSeconds * std::max(zones - 1, 1U);
    return { { "bytesPerSecond", static_cast<double>(bytes) / daemonSeconds },
             { "bytesPerSecondOfBusiestDaemon", static_cast<double>(busiest) / MeasuredSeconds },
             { "datagramsPerSecond", static_cast<double>(datagrams) / daemonSeconds },
             // An upper bound: includes all simulated daemons, the simulation and the encoding.
             { "processorMicrosecondsPerSecond",
               processor * 1e6 / (daemonSeconds + HostsPerOtherZone * (zones - 1) * MeasuredSeconds) },
             { "falselyLostPercent", 100.0 * static_cast<double>(falselyLost) / samples } };
}

nlohmann::json measure(unsigned hosts, unsigned zones)
{
    const std::size_t before = allocatedBytes();
    MembershipNetwork network(1);
    network.loss = DatagramLoss;
    network.startZones(hosts, zones);
    network.runUntil(60s, [&] { return network.viewsAgree(0); });
    network.runFor(30s);
    const double memory = static_cast<double>(allocatedBytes() - before) / hosts;
    nlohmann::json result = measureTraffic(network, hosts, zones);
    result["hosts"] = hosts;
    result["zones"] = zones;
    result["memoryBytesPerDaemon"] = memory;
    if (zones > 1) {
        result.update(measurePartition(network, hosts, zones));
        network.runFor(30s);
        result.update(measureIsolation(network, hosts, zones));
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<unsigned> sizes{ 8, 128, 440 };
    std::vector<unsigned> zones{ 1, 3, 10, 25 };
    if (argc > 2) {
        sizes = { static_cast<unsigned>(std::strtoul(argv[1], nullptr, 10)) };
        zones.clear();
    }
    for (int i = 2; i < argc; ++i) {
        zones.push_back(static_cast<unsigned>(std::strtoul(argv[i], nullptr, 10)));
    }
    nlohmann::json results = nlohmann::json::array();
    for (const unsigned hosts : sizes) {
        for (const unsigned count : zones) {
            results.push_back(measure(hosts, count));
        }
    }
    std::cout << results.dump(2) << '\n';
}
