// Target lists that differ between balancers although no change is missing: how it is noticed, and whose list is used.

#include "directoryfleet.h"
#include "service/listcomparison.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::test;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr Milliseconds settling{ 4000 };
constexpr std::uint64_t omitted = 42;

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

DirectoryFleet runningFleet(std::uint64_t seed)
{
    DirectoryFleet fleet({ 2, 4, 1, 160 }, seed);
    fleet.startAll();
    fleet.run(settling);
    REQUIRE(fleet.outdated() == 0);
    REQUIRE(fleet.followers().size() == 1);
    return fleet;
}

} // namespace

TEST_CASE("only a difference that lasts is repaired, and the requests become rare if it stays")
{
    ListComparison comparison;
    CHECK_FALSE(comparison.onBeacon(false, at(0)));
    CHECK_FALSE(comparison.onBeacon(true, at(300)));
    CHECK_FALSE(comparison.onBeacon(false, at(600)));
    CHECK_FALSE(comparison.onBeacon(false, at(1200)));
    CHECK_FALSE(comparison.isRepairing());
    CHECK(comparison.onBeacon(false, at(1500)));
    CHECK(comparison.isRepairing());
    CHECK_FALSE(comparison.onBeacon(false, at(1800)));
    CHECK(comparison.onBeacon(false, at(2100)));
    int requests = 0;
    for (int time = 2400; time < 600'000; time += 300) {
        requests += comparison.onBeacon(false, at(time)) ? 1 : 0;
    }
    CHECK(requests <= 16);
    CHECK_FALSE(comparison.onBeacon(true, at(600'000)));
    CHECK_FALSE(comparison.isRepairing());
}

TEST_CASE("a follower checks its list once for many balancers that differ, and ever less often if it proves right")
{
    ListVerification verification;
    CHECK(verification.isDue(at(0)));
    verification.onRead(7, at(0));
    CHECK_FALSE(verification.isDue(at(9'000)));
    CHECK(verification.isDue(at(10'000)));
    verification.onRead(7, at(10'000));
    CHECK_FALSE(verification.isDue(at(29'000)));
    CHECK(verification.isDue(at(30'000)));
    verification.onRead(8, at(30'000));
    CHECK(verification.isDue(at(40'000)));
}

// Guards against a list that lacks a live target at a revision that looks current, which nothing corrected.
TEST_CASE("a balancer whose list differs from the follower's at the same revision gets that one within 3 s")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        DirectoryFleet fleet = runningFleet(seed);
        const std::size_t follower = fleet.followers().front();
        const std::size_t other = (follower + 1) % fleet.count();
        fleet.kill(other);
        fleet.run(Milliseconds(500));
        const StoreCallCounts before = fleet.calls();
        fleet.omitFromNextList(other, omitted);
        fleet.start(other);
        fleet.run(DirectoryTiming::ChangeDeadline);
        CHECK(fleet.outdated() == 0);
        CHECK(fleet.uses(other, omitted));
        CHECK(fleet.removals() == 0);
        // The services, a confirmation, and the follower's watches and its one read of four pages.
        CHECK(fleet.calls().current - before.current <= 16);
    }
}

// Guards against balancers that drop a live target, and reset its flows, since a follower's list lacks it.
TEST_CASE(
    "a follower whose list lacks a live target checks it against the store, and no other balancer drops the target")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        DirectoryFleet fleet = runningFleet(seed);
        const std::size_t follower = fleet.followers().front();
        // The balancer with the highest rank of the other zone takes over soon after it started.
        const std::size_t next = follower < 4 ? 4 : 0;
        fleet.kill(next);
        fleet.run(Milliseconds(2500));
        fleet.omitFromNextList(next, omitted);
        fleet.start(next);
        fleet.run(Milliseconds(250));
        fleet.kill(follower);
        fleet.run(Milliseconds(5000));
        CHECK(fleet.outdated() == 0);
        CHECK(fleet.removals() == 0);
        for (std::size_t balancer = 0; balancer < fleet.count(); ++balancer) {
            CHECK((!fleet.isAlive(balancer) || fleet.uses(balancer, omitted)));
        }
    }
}

TEST_CASE("balancers whose lists are the same ask for no list, whatever changes, restarts and outages they go through")
{
    DirectoryFleet fleet = runningFleet(9);
    SeededRandom random(9);
    for (int step = 0; step < 60; ++step) {
        const std::uint64_t choice = random.nextBelow(4);
        if (choice == 0) {
            fleet.putTarget(1 + random.nextBelow(200),
                            random.nextBelow(2) == 0 ? TargetState::Active : TargetState::Draining);
        } else if (choice == 1) {
            const std::size_t balancer = random.nextBelow(fleet.count());
            fleet.kill(balancer);
            fleet.start(balancer);
        } else if (choice == 2) {
            fleet.setStoreUp(false);
            fleet.run(Milliseconds(random.nextBelow(3000)));
            fleet.setStoreUp(true);
        }
        fleet.run(Milliseconds(random.nextBelow(1000)));
    }
    fleet.run(settling);
    CHECK(fleet.outdated() == 0);
    CHECK(fleet.differences() == 0);
}
