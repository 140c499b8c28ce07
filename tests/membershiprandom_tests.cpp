#include "membershipnetwork.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned Hosts = 10;

/** @return the host that a view selects for a key by rendezvous hashing */
HostAddress chosenBy(const FleetView &view, std::uint64_t key)
{
    HostAddress chosen;
    std::uint64_t best = 0;
    for (const HostRecord &host : view.hosts) {
        const std::uint64_t weight = rendezvousWeight(key, host.address.key());
        if (FleetView::acceptsNewWork(host) && weight >= best) {
            best = weight;
            chosen = host.address;
        }
    }
    return chosen;
}

void checkChoicesAgree(MembershipNetwork &network)
{
    for (std::uint64_t key = 0; key < 50; ++key) {
        std::set<HostAddress> chosen;
        for (const auto &[hostAddress, node] : network.nodes()) {
            if (node.running) {
                chosen.insert(chosenBy(*node.membership->view(), key));
            }
        }
        CHECK(chosen.size() == 1);
    }
}

void injectFault(MembershipNetwork &network, SeededRandom &random)
{
    const auto host = static_cast<unsigned>(random.nextBelow(Hosts));
    auto &node = network.node(0, host);
    switch (random.nextBelow(5)) {
    case 0:
        network.kill(node);
        break;
    case 1:
        network.kill(node);
        network.start(0, host, { MembershipNetwork::address(0, 0), MembershipNetwork::address(0, 1) });
        break;
    case 2:
        if (node.running && !node.paused) {
            network.pause(node);
        }
        break;
    case 3: {
        const auto bit = random.nextBelow(3);
        network.isPartitioned = [bit](const auto &from, const auto &to) {
            return ((from.identity.address.ip >> bit) & 1U) != ((to.identity.address.ip >> bit) & 1U);
        };
        break;
    }
    default:
        network.loss = random.nextDouble() * 0.3;
        break;
    }
}

void endFaults(MembershipNetwork &network)
{
    network.isPartitioned = nullptr;
    network.loss = 0.05;
    for (auto &[hostAddress, node] : network.nodes()) {
        if (node.running && node.paused) {
            network.resume(node);
            network.drawIncarnation(node);
        }
    }
}

} // namespace

TEST_CASE("views and the selection of dispatchers converge after random failures, pauses, partitions and loss")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        MembershipNetwork network(seed);
        SeededRandom random(seed * 977);
        network.duplication = 0.1;
        network.startZone(0, Hosts);
        network.runFor(5s);
        for (int i = 0; i < 8; ++i) {
            injectFault(network, random);
            network.runFor(Milliseconds(random.nextBelow(4000)));
        }
        endFaults(network);
        CAPTURE(seed);
        REQUIRE(network.runUntil(6s, [&] { return network.viewsAgree(0); }));
        checkChoicesAgree(network);
    }
}
