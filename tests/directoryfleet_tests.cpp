// Load patterns of the directory: what a whole fleet asks of the store, and how soon it is current, when balancers
// start, end, are refused or cut off. Calls are bounded by the zones, not by the balancers.

#include "directoryfleet.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::test;

namespace
{

constexpr Milliseconds settling{ 4000 };
/** Calls of one complete read of both parts at 600 targets, and of the first watches after it. */
constexpr std::uint64_t callsOfTakeover = 12 + 1 + 4;
/** Watches of one follower in a second without changes. */
constexpr double watchesPerSecond = 1.5;

FleetSize largeFleet()
{
    return { 5, 59, 3, 600 };
}

DirectoryFleet runningFleet(FleetSize size, std::uint64_t seed = 1)
{
    DirectoryFleet fleet(size, seed);
    fleet.startAll();
    fleet.run(settling);
    REQUIRE(fleet.outdated() == 0);
    REQUIRE(fleet.followers().size() == 1);
    return fleet;
}

} // namespace

TEST_CASE("start of a whole fleet: each balancer is ready within a second, and the full-price calls are few")
{
    const FleetSize size = largeFleet();
    DirectoryFleet fleet(size);
    fleet.startAll();
    fleet.run(settling);
    for (std::size_t balancer = 0; balancer < fleet.count(); ++balancer) {
        REQUIRE(fleet.readyAfter(balancer));
        CHECK(*fleet.readyAfter(balancer) <= Milliseconds(1100));
    }
    CHECK(fleet.outdated() == 0);
    CHECK(fleet.followers().size() == 1);
    // One read of the services each; what is left belongs to the followers.
    CHECK(fleet.calls().current - fleet.count() < 60 * size.zones);
    CHECK(fleet.calls().stale <= 12 * fleet.count());
}

TEST_CASE("steady state: one balancer of the fleet follows, whatever the number of balancers")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    const StoreCallCounts before = fleet.calls();
    fleet.run(Milliseconds(20'000));
    CHECK(fleet.followers().size() == 1);
    CHECK(static_cast<double>(fleet.calls().current - before.current) <= 20 * watchesPerSecond + 2);
    CHECK(fleet.calls().stale == before.stale);
    CHECK(fleet.sync(fleet.followers().front()).position() < largeFleet().strongPerZone);
}

TEST_CASE("loss of the follower: a takeover in each zone at most, and changes reach all balancers in time")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        DirectoryFleet fleet = runningFleet(largeFleet(), seed);
        const StoreCallCounts before = fleet.calls();
        fleet.kill(fleet.followers().front());
        fleet.removeTarget(7);
        fleet.putServices();
        fleet.run(Milliseconds(2000));
        CHECK(fleet.outdated() == 0);
        fleet.run(Milliseconds(3000));
        CHECK(fleet.followers().size() == 1);
        const auto watches = static_cast<std::uint64_t>(5 * watchesPerSecond);
        CHECK(fleet.calls().current - before.current <= 5 * callsOfTakeover + watches);
        CHECK(fleet.calls().stale == before.stale);
    }
}

TEST_CASE("planned stop of the follower: another one follows within 100 ms and a change meanwhile is not missed")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    const std::size_t follower = fleet.followers().front();
    fleet.leave(follower);
    fleet.removeTarget(9);
    fleet.run(Milliseconds(500));
    const auto followers = fleet.followers();
    CHECK_FALSE(followers.empty());
    CHECK(std::find(followers.begin(), followers.end(), follower) == followers.end());
    CHECK(fleet.outdated() == 0);
    fleet.run(Milliseconds(2000));
    CHECK(fleet.followers().size() == 1);
}

TEST_CASE("outage of the store: the calls do not grow with the balancers, and all are current soon after its return")
{
    std::vector<std::uint64_t> calls;
    for (const std::size_t balancers : { 12U, 59U }) {
        DirectoryFleet fleet = runningFleet({ 5, balancers, 3, 600 });
        const StoreCallCounts before = fleet.calls();
        fleet.setStoreUp(false);
        fleet.run(Milliseconds(5000));
        CHECK(fleet.followers().size() <= std::size_t{ 5 } * 13);
        fleet.removeTarget(3);
        fleet.putServices();
        fleet.setStoreUp(true);
        fleet.run(Milliseconds(2000));
        CHECK(fleet.outdated() == 0);
        fleet.run(Milliseconds(2000));
        CHECK(fleet.followers().size() == 1);
        calls.push_back(fleet.calls().current - before.current);
    }
    CHECK(calls[1] <= 1.2 * static_cast<double>(calls[0]) + 50);
}

// Guards against a drain that all balancers learned too late, as one lost answer to the follower went unnoticed while
// the other part of the directory was answered.
TEST_CASE("loss of one watch of the follower: a change of that part reaches all balancers within its deadline")
{
    constexpr Milliseconds deadline{ 3000 };
    for (const DirectoryPart part : { DirectoryPart::Targets, DirectoryPart::Services }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            for (int phaseMs = 0; phaseMs < 2000; phaseMs += 250) {
                CAPTURE(nameOf(part), seed, phaseMs);
                DirectoryFleet fleet = runningFleet({ 3, 4, 1, 40 }, seed);
                // A change of the services shifts the phases of the two watches against each other.
                fleet.putServices();
                fleet.run(Milliseconds(phaseMs + 2500));
                const StoreCallCounts before = fleet.calls();
                std::optional<TimePoint> lostAt;
                fleet.loseNextWatch(fleet.followers().front(), part, [&] { lostAt = fleet.now(); });
                while (!lostAt) {
                    fleet.run(Milliseconds(1));
                }
                fleet.run(Milliseconds(20));
                if (part == DirectoryPart::Targets) {
                    fleet.putTarget(7, TargetState::Draining);
                } else {
                    fleet.putServices();
                }
                fleet.run(deadline);
                CHECK(fleet.outdated() == 0);
                fleet.run(Milliseconds(3000));
                CHECK(fleet.followers().size() == 1);
                const auto watches = static_cast<std::uint64_t>(8 * watchesPerSecond);
                CHECK(fleet.calls().current - before.current <= 4 * callsOfTakeover + watches);
            }
        }
    }
}

// Guards against the reset of live flows after an outage, when the return of their target's entry went unnoticed.
TEST_CASE("an entry that expired in an outage and returned stays in use, though the follower loses the watch meanwhile")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        DirectoryFleet fleet = runningFleet({ 3, 4, 1, 40 }, seed);
        fleet.setStoreUp(false);
        fleet.run(Milliseconds(4000));
        fleet.removeTarget(5);
        fleet.setStoreUp(true);
        while (fleet.outdated() > 0 || fleet.followers().size() != 1) {
            fleet.run(Milliseconds(10));
        }
        const TimePoint expiredAt = fleet.now();
        // The watch after the one that tells of the missing entry.
        fleet.run(DirectoryTiming::TargetsWatchTime);
        bool lost = false;
        fleet.loseNextWatch(fleet.followers().front(), DirectoryPart::Targets, [&] { lost = true; });
        while (!lost) {
            fleet.run(Milliseconds(10));
        }
        REQUIRE(fleet.now() - expiredAt < Milliseconds(2000));
        fleet.putTarget(5);
        fleet.run(Milliseconds(5000));
        CHECK(fleet.outdated() == 0);
        CHECK(fleet.removals() == 0);
        fleet.removeTarget(5);
        fleet.run(Milliseconds(5000));
        CHECK(fleet.removals() == fleet.count());
    }
}

TEST_CASE("a third of the balancers is refused by the store: the others follow for them")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        DirectoryFleet fleet = runningFleet(largeFleet(), seed);
        SeededRandom random(seed);
        std::set<std::size_t> refused{ fleet.followers().front() };
        while (refused.size() < fleet.count() / 3) {
            refused.insert(random.nextBelow(fleet.count()));
        }
        const StoreCallCounts before = fleet.calls();
        fleet.refuse(refused);
        fleet.run(Milliseconds(500));
        fleet.removeTarget(11);
        fleet.putServices();
        fleet.run(Milliseconds(2500));
        CHECK(fleet.outdated() == 0);
        fleet.run(Milliseconds(6000));
        CHECK(fleet.calls().current - before.current < std::size_t{ 5 } * 3 * callsOfTakeover);
    }
}

TEST_CASE("restart: a target that left is not in use again after a stale read, and the restart costs few calls")
{
    for (const int staleMs : { 0, 500, 3000, 6000 }) {
        CAPTURE(staleMs);
        DirectoryFleet fleet = runningFleet(largeFleet());
        fleet.run(Milliseconds(8000));
        fleet.setStaleness(Milliseconds(staleMs));
        const std::size_t restarted = 40;
        fleet.kill(restarted);
        for (std::uint64_t id = 100; id < 130; ++id) {
            fleet.removeTarget(id);
        }
        fleet.putTarget(200, TargetState::Draining);
        fleet.run(Milliseconds(1000));
        const StoreCallCounts before = fleet.calls();
        fleet.start(restarted);
        for (int step = 0; step < 300 && !fleet.readyAfter(restarted); ++step) {
            fleet.run(Milliseconds(5));
        }
        REQUIRE(fleet.readyAfter(restarted));
        CHECK(*fleet.readyAfter(restarted) < Milliseconds(150));
        CHECK(fleet.isCurrent(restarted));
        CHECK_FALSE(fleet.sync(restarted).follows());
        CHECK(fleet.calls().current - before.current <= 3);
    }
}

TEST_CASE("restart of half the fleet while the store is away: all get their content from the others")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    fleet.setStoreUp(false);
    for (std::size_t balancer = 1; balancer < fleet.count(); balancer += 2) {
        fleet.kill(balancer);
    }
    fleet.run(Milliseconds(1000));
    for (std::size_t balancer = 1; balancer < fleet.count(); balancer += 2) {
        fleet.start(balancer);
    }
    fleet.run(Milliseconds(3000));
    CHECK(fleet.outdated() == 0);
}

TEST_CASE("a zone that is cut off serves on, and is current soon after it is back")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    fleet.isolate(2);
    fleet.run(Milliseconds(3000));
    fleet.removeTarget(50);
    fleet.putServices();
    fleet.run(Milliseconds(3000));
    CHECK(fleet.outdated() == 59);
    fleet.heal();
    fleet.run(Milliseconds(2000));
    CHECK(fleet.outdated() == 0);
    fleet.run(Milliseconds(3000));
    CHECK(fleet.followers().size() == 1);
}

TEST_CASE("the store forgets its history: the follower reads all again, the others need no call")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    const StoreCallCounts before = fleet.calls();
    fleet.removeTarget(60);
    fleet.discardHistory();
    fleet.run(Milliseconds(1500));
    CHECK(fleet.outdated() == 0);
    CHECK(fleet.calls().current - before.current < 2 * callsOfTakeover + 5);
}

TEST_CASE("a release replaces targets in waves: every balancer follows within half a second of each change")
{
    DirectoryFleet fleet = runningFleet(largeFleet());
    std::uint64_t next = 1000;
    for (int wave = 0; wave < 10; ++wave) {
        for (std::uint64_t i = 0; i < 27; ++i) {
            fleet.putTarget(next + i);
            fleet.putTarget(1 + static_cast<std::uint64_t>(wave) * 27 + i, TargetState::Draining);
        }
        next += 27;
        fleet.run(Milliseconds(700));
        CHECK(fleet.outdated() == 0);
        fleet.run(Milliseconds(300));
    }
    CHECK(fleet.followers().size() == 1);
}
