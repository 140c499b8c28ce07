// Cost of the membership protocol per daemon in virtual time, at several zone sizes; prints JSON.
// Arguments: zone sizes; default 2 8 32 128 440 1000.

#include "../tests/membershipnetwork.h"
#include "measure.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

// 630 failures and 7,900 restarts per day among 11,000 daemons (docs/design.md, 1.4).
constexpr double RestartsPerHostSecond = (630.0 + 7900.0) / 11000.0 / 86400.0;

struct TrafficTotals
{
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t busiestBytes = 0; ///< bytes of the daemon with the most traffic
};

/** @return the traffic of all daemons since the last call */
TrafficTotals takeTotals(MembershipNetwork &network)
{
    TrafficTotals totals;
    for (auto &[place, node] : network.nodes()) {
        totals.bytes += node.bytes;
        totals.datagrams += node.datagrams;
        totals.busiestBytes = std::max(totals.busiestBytes, node.bytes);
        node.bytes = 0;
        node.datagrams = 0;
    }
    return totals;
}

void restartOne(MembershipNetwork &network, unsigned host)
{
    network.kill(network.node(0, host));
    network.runFor(3s);
    network.start(0, host, { MembershipNetwork::address(0, 0), MembershipNetwork::address(0, 1) });
}

/** Measures the traffic while hosts fail and restart at `failureFactor` times the usual rate. */
nlohmann::json measure(MembershipNetwork &network, unsigned hosts, double failureFactor, unsigned seconds)
{
    takeTotals(network);
    const double restartsPerSecond = RestartsPerHostSecond * hosts * failureFactor;
    const double processorStart = processorSeconds();
    const TimePoint start = network.now();
    unsigned restarts = 0;
    double dueRestarts = 0.5;
    while (network.now() - start < std::chrono::seconds(seconds)) {
        dueRestarts += restartsPerSecond;
        if (dueRestarts >= 1.0) {
            dueRestarts -= 1.0;
            restartOne(network, ++restarts % hosts);
        }
        network.runFor(1s);
    }
    const double simulated = std::chrono::duration<double>(network.now() - start).count();
    const double daemonSeconds = simulated * hosts;
    const TrafficTotals totals = takeTotals(network);
    return { { "seconds", simulated },
             { "restarts", restarts },
             { "bytesPerSecond", static_cast<double>(totals.bytes) / daemonSeconds },
             { "bytesPerSecondOfBusiestDaemon", static_cast<double>(totals.busiestBytes) / simulated },
             { "datagramsPerSecond", static_cast<double>(totals.datagrams) / daemonSeconds },
             { "processorMicrosecondsPerSecond", (processorSeconds() - processorStart) * 1e6 / daemonSeconds } };
}

/** Fails a rack; measures the traffic of the other daemons for 10 s, and the time until no view contains a dead host. */
nlohmann::json measureRack(MembershipNetwork &network, unsigned hosts)
{
    constexpr unsigned rackHosts = 40;
    for (unsigned host = 0; host < rackHosts; ++host) {
        network.kill(network.node(0, hosts - 1 - host));
    }
    takeTotals(network);
    const TimePoint start = network.now();
    std::uint64_t total = 0;
    std::uint64_t peak = 0;
    double agreedAfter = -1.0;
    for (unsigned second = 0; second < 10; ++second) {
        network.runFor(1s);
        const std::uint64_t bytes = takeTotals(network).bytes;
        total += bytes;
        peak = std::max(peak, bytes);
        if (agreedAfter < 0.0 && network.viewsAgree(0)) {
            agreedAfter = std::chrono::duration<double>(network.now() - start).count();
        }
    }
    const double survivors = hosts - rackHosts;
    return { { "hostsLost", rackHosts },
             { "bytesPerSecond", static_cast<double>(total) / 10.0 / survivors },
             { "bytesInWorstSecond", static_cast<double>(peak) / survivors },
             { "agreedSeconds", agreedAfter } };
}

nlohmann::json measureZone(unsigned hosts)
{
    const std::size_t memoryBefore = allocatedBytes();
    MembershipNetwork network(1);
    network.startZone(0, hosts);
    const auto joined = network.runUntil(60s, [&] { return network.viewsAgree(0); });
    network.runFor(30s);
    const double pairs = static_cast<double>(hosts) * hosts;
    const double memory = static_cast<double>(allocatedBytes() - memoryBefore);
    const unsigned seconds = hosts >= 440 ? 60 : 600;
    nlohmann::json result{ { "hosts", hosts },
                           { "joinMilliseconds", joined ? joined->count() : -1 },
                           { "memoryBytesPerMember", memory / pairs },
                           { "idle", measure(network, hosts, 0.0, seconds) },
                           { "tenTimesFailureRate", measure(network, hosts, 10.0, seconds) } };
    if (hosts >= 128) {
        result["rack"] = measureRack(network, hosts);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<unsigned> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(static_cast<unsigned>(std::strtoul(argv[i], nullptr, 10)));
    }
    if (sizes.empty()) {
        sizes = { 2, 8, 32, 128, 440, 1000 };
    }
    nlohmann::json result = nlohmann::json::array();
    for (const unsigned hosts : sizes) {
        result.push_back(measureZone(hosts));
    }
    std::cout << result.dump(2) << '\n';
}
