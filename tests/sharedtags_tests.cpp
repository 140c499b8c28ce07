// Load pattern: targets with the same packet tag, whose entries expire and return, arrive and leave in any order, while
// flows move between balancers and balancers start.

#include "packetfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace poplarroad;
using namespace poplarroad::test;

namespace
{

/** Two targets with the same first tag; the first one started earlier. */
struct CollidingPair
{
    TargetChange older;
    TargetChange younger;
};

std::vector<CollidingPair> collidingPairs(std::size_t count)
{
    std::vector<CollidingPair> pairs;
    std::map<PacketTag, std::uint64_t> seen;
    for (std::uint64_t i = 1; pairs.size() < count; ++i) {
        const std::uint64_t id = rendezvousWeight(i, 0);
        const auto [other, isNew] = seen.try_emplace(packetTagOf(TargetId{ id }), id);
        if (!isNew) {
            constexpr std::uint16_t slots = 100;
            pairs.push_back({ listed(other->second, ownZone, slots), listed(id, ownZone, slots) });
            pairs.back().older.target.instance = 100 + 2 * pairs.size();
            pairs.back().younger.target.instance = 101 + 2 * pairs.size();
            pairs.back().younger.target.target.address.ip += 1;
        }
    }
    return pairs;
}

TargetChange with(ListingState listing, TargetChange change)
{
    change.listing = listing;
    return change;
}

TargetId idOf(const TargetChange &change)
{
    return change.target.target.id;
}

} // namespace

// Guards against a tag that changes its owner when entries expire and return, which sent flows to another target.
TEST_CASE("flows keep their target when two targets with the same tag expire and return in the other order")
{
    const CollidingPair pair = collidingPairs(1).front();
    FlowRouter router = routerWith({ pair.older });
    Caller caller(router, 1000);
    REQUIRE(targetOf(caller.open(at(0))) == idOf(pair.older));
    caller.request(at(5));
    caller.acknowledge(at(50));
    router.setTargets({ pair.younger }, false, at(100));
    router.setTargets({ with(ListingState::Expired, pair.older), with(ListingState::Expired, pair.younger) }, false,
                      at(4000));
    router.setTargets({ pair.younger }, false, at(5000));
    router.setTargets({ pair.older }, false, at(5900));
    CHECK(targetOf(caller.request(at(6000))) == idOf(pair.older));
    Packet moved = caller.packet;
    moved.tag = packetTagOf(idOf(pair.older));
    for (const auto &order : { std::vector{ pair.older, pair.younger }, std::vector{ pair.younger, pair.older } }) {
        FlowRouter started = routerWith({ order[0] });
        started.setTargets({ order[1] }, false, at(10));
        CHECK(targetOf(started.onPacket(moved, at(6100))) == idOf(pair.older));
    }
}

TEST_CASE("of two targets with the same tag both get flows, and every balancer finds the target of each flow")
{
    const CollidingPair pair = collidingPairs(1).front();
    FlowRouter router = routerWith({ pair.older, pair.younger });
    FlowRouter other = routerWith({ pair.younger, pair.older });
    std::map<TargetId, int> opened;
    for (std::uint16_t port = 0; port < 20; ++port) {
        Caller caller(router, port);
        const TargetId target = targetOf(caller.open(at(20)));
        ++opened[target];
        CHECK(targetOf(caller.request(at(25))) == target);
        CHECK(targetOf(other.onPacket(caller.packet, at(26))) == target);
        caller.acknowledge(at(30));
    }
    CHECK(opened[idOf(pair.older)] == 10);
    CHECK(opened[idOf(pair.younger)] == 10);
    CHECK(router.targets().sharedTags() == 1);
}

TEST_CASE("a flow whose tag has become shared continues with one that only its target has")
{
    const CollidingPair pair = collidingPairs(1).front();
    FlowRouter router = routerWith({ pair.older });
    Caller caller(router, 1000);
    caller.open(at(0));
    const PacketTag first = caller.packet.tag;
    router.setTargets({ pair.younger }, false, at(10));
    const PacketDecision decision = caller.request(at(20));
    const PacketTag next = std::get<ForwardPacket>(decision).tag;
    CHECK(next != first);
    FlowRouter started = routerWith({ pair.younger, pair.older });
    caller.packet.tag = next;
    CHECK(targetOf(started.onPacket(caller.packet, at(30))) == idOf(pair.older));
}

TEST_CASE("a tag is not given to a second target while the first one is known, also after that has left")
{
    const CollidingPair pair = collidingPairs(1).front();
    const PacketTag shared = packetTagOf(idOf(pair.older));
    FlowRouter router = routerWith({ pair.older, pair.younger });
    router.setTargets({ with(ListingState::Gone, pair.older) }, false, at(10));
    Caller early(router, 1000);
    REQUIRE(targetOf(early.open(at(20))) == idOf(pair.younger));
    CHECK(early.packet.tag != shared);
    const auto later = at(20) + TargetTable::GoneRetention + Milliseconds(10);
    router.setTargets({ listed(1) }, false, later);
    CHECK(router.targets().sharedTags() == 0);
    CHECK(router.targets().ownTag(*router.targets().find(idOf(pair.younger))) == shared);
}

TEST_CASE("flows stay at their targets through random expiry, returns, arrivals and restarts of balancers")
{
    const std::vector<CollidingPair> pairs = collidingPairs(3);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        std::map<TargetId, TargetChange> list;
        std::vector<std::unique_ptr<FlowRouter>> routers;
        const auto all = [&] {
            std::vector<TargetChange> changes;
            changes.reserve(list.size());
            for (const auto &[id, change] : list) {
                changes.push_back(change);
            }
            random.shuffle(changes);
            return changes;
        };
        const auto start = [&] {
            auto router = std::make_unique<FlowRouter>(ownZone, seed);
            router->setServices(services());
            router->setTargets(all(), true, test::start);
            return router;
        };
        const auto publish = [&](const TargetChange &change, TimePoint now) {
            list[idOf(change)] = change;
            for (const auto &router : routers) {
                router->setTargets({ change }, false, now);
            }
        };
        for (const CollidingPair &pair : pairs) {
            list[idOf(pair.older)] = pair.older;
        }
        constexpr std::size_t balancers = 3;
        routers.reserve(balancers);
        while (routers.size() < balancers) {
            routers.push_back(start());
        }
        std::vector<std::pair<Packet, TargetId>> flows;
        std::uint16_t port = 1000;
        for (int step = 1; step < 400; ++step) {
            const TimePoint now = at(step * 10);
            const CollidingPair &pair = pairs[random.nextBelow(pairs.size())];
            const TargetChange &chosen = random.nextBelow(2) == 0 ? pair.older : pair.younger;
            switch (random.nextBelow(4)) {
            case 0:
                publish(chosen, now);
                break;
            case 1:
                if (list.contains(idOf(chosen))) {
                    publish(with(ListingState::Expired, chosen), now);
                }
                break;
            case 2:
                // A balancer that starts takes the list, with the expired entries, from the others.
                routers[random.nextBelow(routers.size())] = start();
                break;
            default:
                Caller caller(*routers[random.nextBelow(routers.size())], port++);
                const TargetId target = targetOf(caller.open(now));
                if (target.value != 0) {
                    caller.request(now);
                    flows.emplace_back(caller.packet, target);
                }
            }
            for (auto &[packet, target] : flows) {
                packet.acknowledged += 10;
                packet.sequence += packet.length;
                const PacketDecision decision = routers[random.nextBelow(routers.size())]->onPacket(packet, now);
                CHECK(targetOf(decision) == target);
                if (const auto *forward = std::get_if<ForwardPacket>(&decision); forward && random.nextBelow(3) == 0) {
                    packet.tag = forward->tag;
                }
            }
        }
        CHECK(flows.size() > 50);
    }
}

TEST_CASE("each of 140,000 targets has a tag of its own")
{
    constexpr std::uint64_t count = 140'000;
    TargetTable table;
    std::vector<TargetChange> changes;
    changes.reserve(count);
    for (std::uint64_t id = 1; id <= count; ++id) {
        changes.push_back(listed(id));
    }
    table.apply(changes, true, start);
    std::set<PacketTag> tags;
    for (std::uint64_t id = 1; id <= count; ++id) {
        const PacketTag tag = table.ownTag(*table.find(TargetId{ id }));
        CHECK(tag != PacketTag{});
        tags.insert(tag);
    }
    CHECK(tags.size() == count);
}
