#include "service/directoryfeed.h"
#include "service/directoryshare.h"
#include "service/targetreplica.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr Milliseconds wait{ 1000 };
const HostAddress low{ 0x0a000001, 7000 };
const HostAddress high{ 0x0a000002, 7000 };

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

TargetUpdate whole(std::uint64_t revision, std::vector<TargetChange> changes)
{
    return { Revision{ revision }, true, std::move(changes) };
}

TargetUpdate changes(std::uint64_t revision, std::vector<TargetChange> list)
{
    return { Revision{ revision }, false, std::move(list) };
}

bool reads(const std::optional<DirectoryFeed::Due> &due)
{
    return due && std::holds_alternative<ReadPart>(due->call);
}

} // namespace

TEST_CASE("a feed reads the whole part first and then watches from its revision")
{
    DirectoryFeed feed(wait, 1);
    const auto first = feed.next(at(0));
    REQUIRE(reads(first));
    CHECK_FALSE(feed.next(at(1)));
    CHECK(feed.onAnswer(first->number, answerAt(7), at(4)));
    const auto second = feed.next(at(4));
    REQUIRE(second);
    CHECK(std::get<WatchPart>(second->call).after == Revision{ 7 });
    CHECK(std::get<WatchPart>(second->call).wait == wait);
}

TEST_CASE("after a watch that failed the whole part is read: a watch from an old revision can hear nothing")
{
    for (const StoreError error : { StoreError::NotFound, StoreError::AnswerLost, StoreError::Busy,
                                    StoreError::Malformed, StoreError::Unreachable }) {
        DirectoryFeed feed(wait, 1);
        feed.onAnswer(feed.next(at(0))->number, answerAt(7), at(4));
        const auto watch = feed.next(at(4));
        CHECK_FALSE(feed.onAnswer(watch->number, failure(error), at(100)));
        CHECK_FALSE(feed.next(at(100)));
        CHECK(reads(feed.next(at(200))));
    }
}

TEST_CASE("pauses between failed calls grow and stay short enough to notice the store's return")
{
    DirectoryFeed feed(wait, 1);
    TimePoint now = at(0);
    for (int i = 0; i < 20; ++i) {
        const auto due = feed.next(now);
        REQUIRE(due);
        feed.onAnswer(due->number, failure(StoreError::Busy), now);
        CHECK(feed.nextTimer() - now <= DirectoryFeed::LongestBackoff);
        now = feed.nextTimer();
    }
}

TEST_CASE("an answer to a call before a restart is not used")
{
    DirectoryFeed feed(wait, 1);
    const auto old = feed.next(at(0));
    feed.restart(at(10));
    const auto fresh = feed.next(at(10));
    REQUIRE(reads(fresh));
    CHECK_FALSE(feed.onAnswer(old->number, answerAt(99), at(11)));
    CHECK(feed.onAnswer(fresh->number, answerAt(5), at(12)));
    CHECK(feed.revision() == Revision{ 5 });
}

TEST_CASE("an answer with an older revision than one before is not used")
{
    DirectoryFeed feed(wait, 1);
    feed.onAnswer(feed.next(at(0))->number, answerAt(7), at(4));
    const auto watch = feed.next(at(4));
    CHECK_FALSE(feed.onAnswer(watch->number, answerAt(6), at(50)));
    CHECK(feed.revision() == Revision{ 7 });
}

TEST_CASE("a feed that another balancer follows makes no more calls, and reads whole when it follows again")
{
    DirectoryFeed feed(wait, 1);
    feed.onAnswer(feed.next(at(0))->number, answerAt(7), at(4));
    feed.setFollowing(false, at(5));
    CHECK_FALSE(feed.next(at(5000)));
    feed.setFollowing(true, at(6000));
    CHECK(reads(feed.next(at(6000))));
}

TEST_CASE("a balancer follows the store until it hears a better-ranked one whose contact is fresh")
{
    DirectoryShare share(low, 10);
    CHECK(share.follows(at(0)));
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    share.onBeacon({ high, 20, 3, Revision{ 5 }, 100, false }, state, at(0));
    CHECK_FALSE(share.follows(at(100)));
    SECTION("its beacons stop")
    {
        CHECK(share.follows(at(1000)));
    }
    SECTION("its contact to the store is lost")
    {
        share.onBeacon({ high, 20, 3, Revision{ 5 }, 1700, false }, state, at(300));
        CHECK(share.follows(at(300)));
    }
}

TEST_CASE("of two balancers with the same rank exactly one follows")
{
    DirectoryShare first(low, 10);
    DirectoryShare second(high, 10);
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    const auto fromFirst = first.beacon(state, at(0));
    const auto fromSecond = second.beacon(state, at(0));
    REQUIRE(fromFirst);
    REQUIRE(fromSecond);
    first.onBeacon(*fromSecond, state, at(1));
    second.onBeacon(*fromFirst, state, at(1));
    CHECK(first.follows(at(2)) != second.follows(at(2)));
}

TEST_CASE("a balancer that is behind asks the sender of the beacon, and the store when that does not help")
{
    DirectoryShare share(low, 10);
    const DirectoryState state{ 3, Revision{ 5 }, at(0) };
    const DirectoryBeacon newer{ high, 20, 4, Revision{ 5 }, 0, false };
    const auto first = share.onBeacon(newer, state, at(0));
    REQUIRE(first.request);
    CHECK(first.request->serviceVersion == 3);
    CHECK_FALSE(first.readStore);
    CHECK_FALSE(share.onBeacon(newer, state, at(100)).request);
    CHECK(share.onBeacon(newer, state, at(300)).request);
    CHECK(share.onBeacon(newer, state, at(600)).readStore);
}

TEST_CASE("beacons go on without contact to the store, so that balancers learn from each other")
{
    DirectoryShare share(low, 10);
    const auto beacon = share.beacon({ 3, Revision{ 5 }, std::nullopt }, at(0));
    REQUIRE(beacon);
    CHECK(Milliseconds(beacon->contactAgeMs) > DirectoryShare::FreshContact);
}

TEST_CASE("an entry of a ready target that goes away is used on until its lapse time is over")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate lost = replica.apply(changes(11, { gone(1, 11) }), at(100));
    REQUIRE(lost.changes.size() == 1);
    CHECK(lost.changes.front().listing == ListingState::Lapsed);
    SECTION("it comes back: the store was away")
    {
        const TargetUpdate back = replica.apply(changes(12, { present(1, 12) }), at(1500));
        REQUIRE(back.changes.size() == 1);
        CHECK(back.changes.front().listing == ListingState::Present);
        CHECK(replica.onTimer(at(5000)).changes.empty());
    }
    SECTION("it stays away: the target is gone")
    {
        CHECK(replica.onTimer(at(2000)).changes.empty());
        const TargetUpdate ended = replica.onTimer(at(2400));
        REQUIRE(ended.changes.size() == 1);
        CHECK(ended.changes.front().listing == ListingState::Gone);
    }
}

TEST_CASE("an entry of a draining target that goes away is gone at once")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3, TargetState::Draining) }), at(0));
    const TargetUpdate lost = replica.apply(changes(11, { gone(1, 11) }), at(100));
    REQUIRE(lost.changes.size() == 1);
    CHECK(lost.changes.front().listing == ListingState::Gone);
}

TEST_CASE("entries that are missing in a whole list lapse like deleted ones")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate news = replica.apply(whole(20, { present(2, 4) }), at(100));
    REQUIRE(news.changes.size() == 1);
    CHECK(news.changes.front().target.target.id == TargetId{ 1 });
    CHECK(news.changes.front().listing == ListingState::Lapsed);
}

TEST_CASE("an update that is older than the list changes nothing")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3) }), at(0));
    CHECK(replica.apply(whole(9, {}), at(1)).changes.empty());
    CHECK(replica.size() == 1);
    CHECK(replica.revision() == Revision{ 10 });
}

TEST_CASE("a peer that is behind gets the changes since, one that is far behind the whole list")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3) }), at(0));
    replica.apply(changes(12, { present(2, 12) }), at(1));
    const TargetUpdate delta = replica.since(Revision{ 10 });
    CHECK_FALSE(delta.complete);
    REQUIRE(delta.changes.size() == 1);
    CHECK(delta.changes.front().target.target.id == TargetId{ 2 });
    CHECK(replica.since(Revision{ 0 }).complete);
    CHECK(replica.since(Revision{ 9 }).complete);
    CHECK(replica.since(Revision{ 0 }).changes.size() == 2);
}

TEST_CASE("a peer that follows by updates ends with the same list, whichever of them it missed")
{
    SeededRandom random(11);
    for (int run = 0; run < 50; ++run) {
        TargetReplica source;
        TargetReplica peer;
        source.apply(whole(1, {}), at(0));
        peer.apply(source.since({}), at(0));
        for (std::uint64_t revision = 2; revision < 200; ++revision) {
            const std::uint64_t id = 1 + random.nextBelow(12);
            source.apply(changes(revision, { random.nextBelow(3) == 0 ? gone(id, revision) : present(id, revision) }),
                         at(0));
            if (random.nextBelow(4) == 0) {
                peer.apply(source.since(peer.revision()), at(0));
            }
        }
        peer.apply(source.since(peer.revision()), at(0));
        CHECK(peer.revision() == source.revision());
        CHECK(peer.size() == source.size());
    }
}

TEST_CASE("an older loss of an entry that came back makes balancers give up a living target")
{
    TargetReplica replica;
    replica.apply(whole(10, { present(1, 3) }), at(0));
    replica.apply(changes(20, { present(1, 18) }), at(10));
    // Another balancer read the list while the entry was missing and learned of its return in another way.
    const TargetUpdate news = replica.apply(changes(21, { gone(1, 15) }), at(20));
    CHECK(news.changes.empty());
    CHECK(replica.size() == 1);
}

TEST_CASE("a loss that the store reports with the entry's last revision does not reach a peer")
{
    TargetReplica source;
    source.apply(whole(10, { present(1, 3), present(2, 4) }), at(0));
    source.apply(changes(20, { present(2, 20) }), at(10));
    TargetReplica peer;
    peer.apply(source.since({}), at(10));
    source.apply(changes(25, { gone(1, 3) }), at(20));
    const TargetUpdate news = peer.apply(source.since(peer.lastChange()), at(30));
    REQUIRE(news.changes.size() == 1);
    CHECK(news.changes.front().listing == ListingState::Lapsed);
}

TEST_CASE("balancers hand a lapsed entry to each other for ever")
{
    TargetReplica first;
    TargetReplica second;
    first.apply(whole(10, { present(1, 3) }), at(0));
    second.apply(first.since({}), at(0));
    second.apply(whole(20, {}), at(4000));
    first.apply(whole(20, {}), at(5000));
    second.onTimer(at(6300));
    CHECK(second.lapsed() == 0);
    // The other one still waits for the entry; this one has given it up.
    CHECK(second.apply(first.since(second.lastChange()), at(6400)).changes.empty());
    CHECK(second.lapsed() == 0);
}

TEST_CASE("a balancer that starts while the store has lost entries takes the lapsed ones of its peers")
{
    TargetReplica peer;
    peer.apply(whole(10, { present(1, 3), present(2, 4) }), at(0));
    peer.apply(whole(20, {}), at(100));
    TargetReplica fresh;
    fresh.apply(whole(20, {}), at(200));
    const TargetUpdate news = fresh.apply(peer.since(Revision{ 20 }), at(210));
    CHECK(news.changes.size() == 2);
    CHECK(news.changes.front().listing == ListingState::Lapsed);
}
