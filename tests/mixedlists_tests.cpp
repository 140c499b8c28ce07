// Lists whose parts are of different age: the store may answer each call for a page from another copy of its contents.

#include "directoryfleet.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::test;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

TargetChange entry(const std::string &name, std::uint64_t revision, TargetState state = TargetState::Active)
{
    TargetChange change;
    change.revision = Revision{ revision };
    change.target.target.id = targetIdOf(name);
    change.target.target.name = name;
    change.target.target.state = state;
    return change;
}

TargetChange gone(const std::string &name, std::uint64_t revision)
{
    TargetChange change = entry(name, revision);
    change.listing = ListingState::Gone;
    return change;
}

TargetUpdate changes(std::uint64_t revision, std::vector<TargetChange> list)
{
    return { Revision{ revision }, false, std::move(list) };
}

TargetUpdate completeList(std::uint64_t revision, std::vector<TargetChange> list)
{
    return { Revision{ revision }, true, std::move(list) };
}

/** @return a list with the entries a to m at revision 100 and those after them at revision 90 */
TargetReplica mixedReplica(std::vector<TargetChange> list)
{
    TargetReplica replica;
    replica.apply(completeList(90, std::move(list)), at(0),
                  { {}, { { "m", Revision{ 100 } }, { "z", Revision{ 90 } } } });
    REQUIRE(replica.isMixed());
    REQUIRE(replica.revision() == Revision{ 90 });
    return replica;
}

bool lists(const TargetUpdate &update, const std::string &name, ListingState listing)
{
    return std::any_of(update.changes.begin(), update.changes.end(), [&](const TargetChange &change) {
        return change.target.target.id == targetIdOf(name) && change.listing == listing;
    });
}

} // namespace

TEST_CASE("a list of several segments shows each name up to the revision of its segment")
{
    ListCoverage coverage(Revision{ 80 },
                          { { "c", Revision{ 100 } }, { "f", Revision{ 80 } }, { "k", Revision{ 90 } } });
    CHECK(coverage.isMixed());
    CHECK(coverage.revisionOf("a") == Revision{ 100 });
    CHECK(coverage.revisionOf("c") == Revision{ 100 });
    CHECK(coverage.revisionOf("d") == Revision{ 80 });
    CHECK(coverage.revisionOf("k") == Revision{ 90 });
    CHECK(coverage.revisionOf("x") == Revision{ 90 });
    coverage.advance(Revision{ 95 });
    CHECK(coverage.revisionOf("a") == Revision{ 100 });
    CHECK(coverage.revisionOf("d") == Revision{ 95 });
    coverage.advance(Revision{ 100 });
    CHECK_FALSE(coverage.isMixed());
    CHECK(coverage.revisionOf("d") == Revision{ 100 });
    CHECK_FALSE(ListCoverage(Revision{ 5 }, { { "c", Revision{ 5 } }, { "f", Revision{ 5 } } }).isMixed());
}

// Guards against a drain that is undone by an event from before it, which the watch from the oldest page repeats.
TEST_CASE("events that are older than a page change none of its entries")
{
    TargetReplica replica = mixedReplica({ entry("a", 99, TargetState::Draining), entry("n", 50) });
    const TargetUpdate update = replica.apply(
        changes(101, { entry("a", 95), entry("a", 99, TargetState::Draining), entry("n", 97, TargetState::Draining) }),
        at(10));
    CHECK_FALSE(lists(update, "a", ListingState::Present));
    CHECK(lists(update, "n", ListingState::Present));
    CHECK_FALSE(replica.isMixed());
    CHECK(replica.revision() == Revision{ 101 });
}

// Guards against a target that left and is in use again by an event from before its end.
TEST_CASE("an entry that a newer page lacks does not come back with an event from before that page")
{
    TargetReplica replica = mixedReplica({ entry("n", 50) });
    CHECK(replica.apply(changes(96, { entry("b", 95), entry("o", 96) }), at(10)).changes.size() == 1);
    CHECK(replica.size() == 2);
    CHECK(replica.apply(changes(98, { gone("b", 98) }), at(20)).changes.empty());
    CHECK(lists(replica.apply(changes(105, { entry("b", 104) }), at(30)), "b", ListingState::Present));
}

// Guards against open flows that are reset because a balancer with an older list sent it as the complete one.
TEST_CASE("a complete list neither removes nor reverts an entry that is known from a later revision")
{
    TargetReplica replica = mixedReplica({ entry("a", 95), entry("b", 99, TargetState::Draining), entry("n", 50) });
    const TargetUpdate update =
        replica.apply(completeList(92, { entry("b", 60), entry("c", 70), entry("n", 50) }), at(10));
    CHECK(update.changes.empty());
    CHECK(replica.size() == 3);
    CHECK(replica.revision() == Revision{ 92 });
    // Entries that are older than the list are still removed.
    CHECK(lists(replica.apply(completeList(101, { entry("b", 99, TargetState::Draining), entry("n", 50) }), at(20)),
                "a", ListingState::Expired));
    CHECK_FALSE(replica.isMixed());
}

// Guards against targets that left and are in use again for some seconds by an old change of a peer.
TEST_CASE("a removed entry does not come back with a change from before its removal")
{
    TargetReplica replica;
    replica.apply(completeList(100, { entry("a", 50), entry("n", 50) }), at(0));
    replica.apply(changes(101, { entry("b", 101) }), at(10));
    replica.apply(changes(103, { gone("b", 103), gone("a", 50) }), at(20));
    CHECK(replica.apply(changes(105, { entry("b", 101), entry("a", 50) }), at(30)).changes.empty());
    CHECK(replica.size() == 1);
    replica.onTimer(at(3000));
    CHECK(replica.apply(changes(106, { entry("b", 101) }), at(3010)).changes.empty());
    CHECK(lists(replica.apply(changes(107, { entry("b", 107) }), at(3020)), "b", ListingState::Present));
}

// Guards against the same faults in any order of restarts, take-overs and changes: balancers that start read each page
// from another copy of the store.
TEST_CASE("restarts with pages of different age, in random order: no live target is removed, none that drains is used")
{
    // Changes of the targets are in force within the deadline of a change.
    constexpr Milliseconds deadline = DirectoryTiming::ChangeDeadline;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        FleetSize size{ 2, 4, 1, 160 };
        DirectoryFleet fleet(size, seed);
        fleet.setPageStaleness(Milliseconds(3000));
        fleet.startAll();
        fleet.run(Milliseconds(4000));
        std::map<std::uint64_t, TimePoint> drainedAt;
        std::uint64_t nextTarget = 1000;
        for (int step = 0; step < 120; ++step) {
            const std::uint64_t choice = random.nextBelow(6);
            const std::size_t balancer = random.nextBelow(fleet.count());
            if (choice == 0 && fleet.isReady(balancer)) {
                fleet.kill(balancer);
                fleet.run(Milliseconds(random.nextBelow(400)));
                fleet.start(balancer);
            } else if (choice == 1 && fleet.isReady(balancer)) {
                fleet.leave(balancer);
                fleet.run(Milliseconds(300));
                fleet.kill(balancer);
                fleet.start(balancer);
            } else if (choice == 2) {
                fleet.putTarget(nextTarget++);
            } else if (choice == 3) {
                const std::uint64_t target = 1 + random.nextBelow(160);
                if (drainedAt.try_emplace(target, fleet.now()).second) {
                    fleet.putTarget(target, TargetState::Draining);
                }
            } else {
                fleet.putServices();
            }
            fleet.run(Milliseconds(random.nextBelow(500)));
            for (std::size_t index = 0; index < fleet.count(); ++index) {
                if (!fleet.isReady(index)) {
                    continue;
                }
                for (const auto &[target, since] : drainedAt) {
                    REQUIRE((fleet.now() - since <= deadline || !fleet.uses(index, target)));
                }
            }
            REQUIRE(fleet.removals() == 0);
        }
        fleet.run(deadline);
        CHECK(fleet.outdated() == 0);
    }
}
