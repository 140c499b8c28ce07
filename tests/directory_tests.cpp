#include "service/directoryelection.h"
#include "service/directorywatcher.h"
#include "service/targetreplica.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr Milliseconds wait{ 1000 };
const HostAddress lowAddress{ 0x0a000001, 7000 };
const HostAddress highAddress{ 0x0a000002, 7000 };

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

DirectoryResult answerAt(std::uint64_t revision)
{
    DirectoryResult answer;
    answer.revision = Revision{ revision };
    return answer;
}

DirectoryResult failure(StoreError error)
{
    DirectoryResult answer;
    answer.error = error;
    return answer;
}

TargetChange present(std::uint64_t id, std::uint64_t revision, TargetState state = TargetState::Active)
{
    TargetChange change;
    change.revision = Revision{ revision };
    change.target.target.id = TargetId{ id };
    change.target.target.state = state;
    return change;
}

TargetChange gone(std::uint64_t id, std::uint64_t revision)
{
    TargetChange change = present(id, revision);
    change.listing = ListingState::Gone;
    return change;
}

TargetUpdate completeList(std::uint64_t revision, std::vector<TargetChange> changes)
{
    return { Revision{ revision }, true, std::move(changes) };
}

TargetUpdate changes(std::uint64_t revision, std::vector<TargetChange> list)
{
    return { Revision{ revision }, false, std::move(list) };
}

bool isCompleteRead(const std::optional<DirectoryWatcher::DueCall> &due)
{
    return due && std::holds_alternative<ReadPart>(due->call);
}

} // namespace

TEST_CASE("a watcher reads the complete part first and then watches from its revision")
{
    DirectoryWatcher watcher(wait, 1);
    const auto first = watcher.next(at(0));
    REQUIRE(isCompleteRead(first));
    CHECK_FALSE(watcher.next(at(1)));
    CHECK(watcher.onAnswer(first->number, answerAt(7), at(4)));
    const auto second = watcher.next(at(4));
    REQUIRE(second);
    CHECK(std::get<WatchPart>(second->call).after == Revision{ 7 });
    CHECK(std::get<WatchPart>(second->call).wait == wait);
}

TEST_CASE("a failed watch is followed by a complete read, since a watch from an old revision may report nothing")
{
    for (const StoreError error : { StoreError::NotFound, StoreError::AnswerLost, StoreError::Busy,
                                    StoreError::Malformed, StoreError::Unreachable }) {
        DirectoryWatcher watcher(wait, 1);
        watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
        const auto watch = watcher.next(at(4));
        CHECK_FALSE(watcher.onAnswer(watch->number, failure(error), at(100)));
        CHECK_FALSE(watcher.next(at(100)));
        CHECK(isCompleteRead(watcher.next(at(200))));
    }
}

TEST_CASE("the backoff between failed calls stays short enough to notice the store's return")
{
    DirectoryWatcher watcher(wait, 1);
    TimePoint now = at(0);
    for (int i = 0; i < 20; ++i) {
        const auto due = watcher.next(now);
        REQUIRE(due);
        watcher.onAnswer(due->number, failure(StoreError::Busy), now);
        CHECK(watcher.nextTimer() - now <= DirectoryWatcher::MaxBackoff);
        now = watcher.nextTimer();
    }
}

TEST_CASE("an answer to a call from before a restart is ignored")
{
    DirectoryWatcher watcher(wait, 1);
    const auto old = watcher.next(at(0));
    watcher.restart(at(10));
    const auto fresh = watcher.next(at(10));
    REQUIRE(isCompleteRead(fresh));
    CHECK_FALSE(watcher.onAnswer(old->number, answerAt(99), at(11)));
    CHECK(watcher.onAnswer(fresh->number, answerAt(5), at(12)));
    CHECK(watcher.revision() == Revision{ 5 });
}

TEST_CASE("an answer with an older revision than the current one is ignored")
{
    DirectoryWatcher watcher(wait, 1);
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    const auto watch = watcher.next(at(4));
    CHECK_FALSE(watcher.onAnswer(watch->number, answerAt(6), at(50)));
    CHECK(watcher.revision() == Revision{ 7 });
}

TEST_CASE("a watcher makes no calls while another balancer follows, and reads the complete part when it follows again")
{
    DirectoryWatcher watcher(wait, 1);
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    watcher.setFollowing(false, at(5));
    CHECK_FALSE(watcher.next(at(5000)));
    watcher.setFollowing(true, at(6000));
    CHECK(isCompleteRead(watcher.next(at(6000))));
}

TEST_CASE("a balancer follows the store until it hears a higher-ranked one with recent contact to the store")
{
    DirectoryElection election(lowAddress, 10);
    CHECK(election.follows(at(0)));
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    election.onBeacon({ highAddress, 20, 3, Revision{ 5 }, 100, false }, state, at(0));
    CHECK_FALSE(election.follows(at(100)));
    SECTION("its beacons stop")
    {
        CHECK(election.follows(at(1000)));
    }
    SECTION("its contact to the store is lost")
    {
        election.onBeacon({ highAddress, 20, 3, Revision{ 5 }, 1700, false }, state, at(300));
        CHECK(election.follows(at(300)));
    }
}

TEST_CASE("of two balancers with the same rank exactly one follows")
{
    DirectoryElection first(lowAddress, 10);
    DirectoryElection second(highAddress, 10);
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    const auto fromFirst = first.beacon(state, at(0));
    const auto fromSecond = second.beacon(state, at(0));
    REQUIRE(fromFirst);
    REQUIRE(fromSecond);
    first.onBeacon(*fromSecond, state, at(1));
    second.onBeacon(*fromFirst, state, at(1));
    CHECK(first.follows(at(2)) != second.follows(at(2)));
}

TEST_CASE("a balancer that is behind asks the sender of the beacon, and reads the store if that does not help in time")
{
    DirectoryElection election(lowAddress, 10);
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    const DirectoryBeacon newer{ highAddress, 20, 4, Revision{ 5 }, 0, false };
    const auto first = election.onBeacon(newer, state, at(0));
    REQUIRE(first.request);
    CHECK(first.request->serviceVersion == 3);
    CHECK_FALSE(first.readStore);
    CHECK_FALSE(election.onBeacon(newer, state, at(100)).request);
    CHECK(election.onBeacon(newer, state, at(300)).request);
    CHECK(election.onBeacon(newer, state, at(600)).readStore);
}

TEST_CASE("beacons are sent without contact to the store too, so that balancers still learn from each other")
{
    DirectoryElection election(lowAddress, 10);
    const auto beacon = election.beacon({ 3, Revision{ 5 }, std::nullopt }, at(0));
    REQUIRE(beacon);
    CHECK(Milliseconds(beacon->contactAgeMs) > DirectoryElection::MaxContactAge);
}

TEST_CASE("an active target whose entry disappears stays in use for a grace period")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate lost = replica.apply(changes(11, { gone(1, 11) }), at(100));
    REQUIRE(lost.changes.size() == 1);
    CHECK(lost.changes.front().listing == ListingState::Lapsed);
    SECTION("the entry returns: only the store was unavailable")
    {
        const TargetUpdate back = replica.apply(changes(12, { present(1, 12) }), at(1500));
        REQUIRE(back.changes.size() == 1);
        CHECK(back.changes.front().listing == ListingState::Present);
        CHECK(replica.onTimer(at(5000)).changes.empty());
    }
    SECTION("the entry does not return: the target is gone")
    {
        CHECK(replica.onTimer(at(2000)).changes.empty());
        const TargetUpdate ended = replica.onTimer(at(2400));
        REQUIRE(ended.changes.size() == 1);
        CHECK(ended.changes.front().listing == ListingState::Gone);
    }
}

TEST_CASE("a draining target whose entry disappears is removed at once")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3, TargetState::Draining) }), at(0));
    const TargetUpdate lost = replica.apply(changes(11, { gone(1, 11) }), at(100));
    REQUIRE(lost.changes.size() == 1);
    CHECK(lost.changes.front().listing == ListingState::Gone);
}

TEST_CASE("entries that are missing from a complete list lapse like deleted ones")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate update = replica.apply(completeList(20, { present(2, 4) }), at(100));
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().target.target.id == TargetId{ 1 });
    CHECK(update.changes.front().listing == ListingState::Lapsed);
}

TEST_CASE("an update that is older than the list changes nothing")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3) }), at(0));
    CHECK(replica.apply(completeList(9, {}), at(1)).changes.empty());
    CHECK(replica.size() == 1);
    CHECK(replica.revision() == Revision{ 10 });
}

TEST_CASE("a peer gets the changes that it lacks, or the complete list if it is too far behind")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3) }), at(0));
    replica.apply(changes(12, { present(2, 12) }), at(1));
    const TargetUpdate delta = replica.updateSince(Revision{ 10 });
    CHECK_FALSE(delta.complete);
    REQUIRE(delta.changes.size() == 1);
    CHECK(delta.changes.front().target.target.id == TargetId{ 2 });
    CHECK(replica.updateSince(Revision{ 0 }).complete);
    CHECK(replica.updateSince(Revision{ 9 }).complete);
    CHECK(replica.updateSince(Revision{ 0 }).changes.size() == 2);
}

TEST_CASE("a peer that applies updates ends with the same list, whichever updates it missed")
{
    SeededRandom random(11);
    for (int run = 0; run < 50; ++run) {
        TargetReplica source;
        TargetReplica peer;
        source.apply(completeList(1, {}), at(0));
        peer.apply(source.updateSince({}), at(0));
        for (std::uint64_t revision = 2; revision < 200; ++revision) {
            const std::uint64_t id = 1 + random.nextBelow(12);
            source.apply(changes(revision, { random.nextBelow(3) == 0 ? gone(id, revision) : present(id, revision) }),
                         at(0));
            if (random.nextBelow(4) == 0) {
                peer.apply(source.updateSince(peer.revision()), at(0));
            }
        }
        peer.apply(source.updateSince(peer.revision()), at(0));
        CHECK(peer.revision() == source.revision());
        CHECK(peer.size() == source.size());
    }
}

TEST_CASE("an outdated removal does not remove an entry that was written again")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3) }), at(0));
    replica.apply(changes(20, { present(1, 18) }), at(10));
    // Sent by a balancer that read the list while the entry was missing, and learned of its return in another way.
    const TargetUpdate update = replica.apply(changes(21, { gone(1, 15) }), at(20));
    CHECK(update.changes.empty());
    CHECK(replica.size() == 1);
}

TEST_CASE("a removal that the store reports with the entry's last revision reaches a peer")
{
    TargetReplica source;
    source.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    source.apply(changes(20, { present(2, 20) }), at(10));
    TargetReplica peer;
    peer.apply(source.updateSince({}), at(10));
    source.apply(changes(25, { gone(1, 3) }), at(20));
    const TargetUpdate update = peer.apply(source.updateSince(peer.lastChange()), at(30));
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().listing == ListingState::Lapsed);
}

TEST_CASE("balancers do not pass a lapsed entry back and forth forever")
{
    TargetReplica first;
    TargetReplica second;
    first.apply(completeList(10, { present(1, 3) }), at(0));
    second.apply(first.updateSince({}), at(0));
    second.apply(completeList(20, {}), at(4000));
    first.apply(completeList(20, {}), at(5000));
    second.onTimer(at(6300));
    CHECK(second.lapsedCount() == 0);
    // The first replica still keeps the lapsed entry, which the second one has removed.
    CHECK(second.apply(first.updateSince(second.lastChange()), at(6400)).changes.empty());
    CHECK(second.lapsedCount() == 0);
}

TEST_CASE("a balancer that starts while the store lacks entries takes over the lapsed ones of its peers")
{
    TargetReplica peer;
    peer.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    peer.apply(completeList(20, {}), at(100));
    TargetReplica fresh;
    fresh.apply(completeList(20, {}), at(200));
    const TargetUpdate update = fresh.apply(peer.updateSince(Revision{ 20 }), at(210));
    CHECK(update.changes.size() == 2);
    CHECK(update.changes.front().listing == ListingState::Lapsed);
}
