#include "service/directoryelection.h"
#include "service/directorysync.h"
#include "service/directorywatcher.h"
#include "service/targetreplica.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
constexpr Milliseconds wait{ 1000 };
constexpr auto maxContactAgeMs = static_cast<std::uint32_t>(DirectoryElection::MaxContactAge.count());
const HostAddress lowAddress{ 0x0a000001, 7000 };
const HostAddress highAddress{ 0x0a000002, 7000 };
const HostAddress thirdAddress{ 0x0a000000, 7000 };

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

HostRecord member(const HostAddress &address, std::uint16_t rank)
{
    HostRecord record;
    record.address = address;
    record.rank = rank;
    return record;
}

DirectoryBeacon beaconOf(const HostAddress &follower, std::uint64_t rank, std::uint32_t contactAgeMs = 0)
{
    return { follower, rank, 3, Revision{ 5 }, contactAgeMs, false, 0 };
}

DirectoryWatcher followingWatcher(ReadFreshness startFreshness = ReadFreshness::Current)
{
    DirectoryWatcher watcher(wait, startFreshness, 1);
    watcher.setFollowing(true, at(0));
    return watcher;
}

/** @return a balancer with services of version 3 and an empty target list of revision 5, both confirmed */
DirectorySync readySync()
{
    DirectoryIdentity identity;
    identity.self = lowAddress;
    identity.rank = 10;
    DirectorySync sync(identity, 1, at(0));
    DirectoryActions calls;
    sync.onTimer(at(0), calls);
    DirectoryActions ignored;
    for (const DirectoryAction &action : calls) {
        if (const auto *call = std::get_if<CallStore>(&action)) {
            DirectoryResult answer = answerAt(5);
            answer.complete = true;
            if (call->part == DirectoryPart::Services) {
                auto services = std::make_shared<ServiceMap>();
                services->version = 3;
                answer.services = services;
            }
            sync.onStoreAnswer(call->part, call->due.number, answer, at(1), ignored);
        }
    }
    sync.onMessage(highAddress, identity.zone, beaconOf(highAddress, 20), at(2), ignored);
    REQUIRE(sync.ready());
    return sync;
}

/** A balancer that has just started, and what it did so far. */
struct StartingBalancer
{
    StartingBalancer()
        : sync(identity(), 1, at(0))
    {
        sync.onTimer(at(0), actions);
    }

    static DirectoryIdentity identity()
    {
        DirectoryIdentity identity;
        identity.self = lowAddress;
        identity.rank = 10;
        identity.seeds = { highAddress };
        identity.contentBytesPerSecond = 1e6;
        return identity;
    }
    /** Answers the last call for a part. */
    void answer(DirectoryPart part, const DirectoryResult &result, TimePoint now)
    {
        std::optional<std::uint64_t> number;
        for (const DirectoryAction &action : actions) {
            const auto *call = std::get_if<CallStore>(&action);
            if (call && call->part == part) {
                number = call->due.number;
            }
        }
        REQUIRE(number);
        sync.onStoreAnswer(part, *number, result, now, actions);
    }
    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> result;
        for (const DirectoryAction &action : actions) {
            if (const auto *matching = std::get_if<Action>(&action)) {
                result.push_back(*matching);
            }
        }
        return result;
    }
    template<typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> result;
        for (const SendFleetMessage &send : all<SendFleetMessage>()) {
            if (const auto *message = std::get_if<Message>(&send.message)) {
                result.push_back(*message);
            }
        }
        return result;
    }
    void runUntil(TimePoint end)
    {
        for (TimePoint now = std::max(sync.nextTimer(), at(0)); now <= end; now = sync.nextTimer()) {
            sync.onTimer(now, actions);
        }
    }

    DirectorySync sync;
    DirectoryActions actions;
};

DirectoryResult servicesAt(std::uint64_t revision)
{
    DirectoryResult answer = answerAt(revision);
    auto services = std::make_shared<ServiceMap>();
    services->version = 3;
    answer.services = services;
    answer.complete = true;
    return answer;
}

DirectoryResult truncatedList(std::uint64_t revision, std::vector<TargetChange> list)
{
    DirectoryResult answer = answerAt(revision);
    answer.targets = std::move(list);
    answer.truncated = true;
    return answer;
}

/** Answers the reads at the start as of revision 9. @return the list of targets, with one entry */
DirectoryResult readAtStart(StartingBalancer &balancer)
{
    balancer.answer(DirectoryPart::Services, servicesAt(9), at(4));
    DirectoryResult list = answerAt(9);
    list.complete = true;
    list.targets = { present(1, 3) };
    balancer.answer(DirectoryPart::Targets, list, at(8));
    return list;
}

/** What a balancer does when it hears a beacon. */
struct Reaction
{
    std::optional<DirectoryRequest> request; ///< to the sender of the beacon
    std::vector<CallStore> calls;
};

Reaction reactionTo(DirectorySync &sync, const DirectoryBeacon &beacon, TimePoint now)
{
    DirectoryActions actions;
    sync.onMessage(highAddress, ZoneId{}, beacon, now, actions);
    Reaction reaction;
    for (const DirectoryAction &action : actions) {
        if (const auto *send = std::get_if<SendFleetMessage>(&action)) {
            const auto *request = std::get_if<DirectoryRequest>(&send->message);
            if (request && send->hosts == std::vector{ highAddress }) {
                reaction.request = *request;
            }
        } else if (const auto *call = std::get_if<CallStore>(&action)) {
            reaction.calls.push_back(*call);
        }
    }
    return reaction;
}

bool isCompleteRead(const std::optional<DirectoryWatcher::DueCall> &due)
{
    return due && std::holds_alternative<ReadPart>(due->call);
}

} // namespace

TEST_CASE("a follower reads the complete part first and then watches from its revision")
{
    DirectoryWatcher watcher = followingWatcher();
    const auto first = watcher.next(at(0));
    REQUIRE(isCompleteRead(first));
    CHECK_FALSE(watcher.next(at(1)));
    CHECK(watcher.onAnswer(first->number, answerAt(7), at(4)));
    const auto second = watcher.next(at(4));
    REQUIRE(second);
    CHECK(second->reason == StoreCallReason::Watch);
    CHECK(std::get<WatchPart>(second->call).after == Revision{ 7 });
    CHECK(std::get<WatchPart>(second->call).wait == wait);
}

TEST_CASE("a balancer that does not follow reads the part once and then makes no calls")
{
    DirectoryWatcher watcher(wait, ReadFreshness::MayBeStale, 1);
    const auto first = watcher.next(at(0));
    REQUIRE(isCompleteRead(first));
    CHECK(std::get<ReadPart>(first->call).freshness == ReadFreshness::MayBeStale);
    CHECK(watcher.onAnswer(first->number, answerAt(7), at(4)));
    CHECK_FALSE(watcher.currentAt());
    CHECK(watcher.nextTimer() == TimePoint::max());
    CHECK_FALSE(watcher.next(at(60'000)));
}

TEST_CASE("a follower requests the changes after a stale read before it watches")
{
    DirectoryWatcher watcher = followingWatcher(ReadFreshness::MayBeStale);
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    const auto catchUp = watcher.next(at(4));
    REQUIRE(catchUp);
    CHECK(std::get<WatchPart>(catchUp->call).after == Revision{ 7 });
    CHECK(std::get<WatchPart>(catchUp->call).wait == Milliseconds(0));
    watcher.onAnswer(catchUp->number, answerAt(9), at(8));
    CHECK(watcher.currentAt() == at(8));
    CHECK(std::get<WatchPart>(watcher.next(at(8))->call).wait == wait);
}

TEST_CASE("a failed watch is followed by a complete read, since a watch from an old revision may report nothing")
{
    for (const StoreError error : { StoreError::NotFound, StoreError::AnswerLost, StoreError::Busy,
                                    StoreError::Malformed, StoreError::Unreachable }) {
        DirectoryWatcher watcher = followingWatcher();
        watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
        const auto watch = watcher.next(at(4));
        CHECK_FALSE(watcher.onAnswer(watch->number, failure(error), at(100)));
        CHECK_FALSE(watcher.next(at(100)));
        const auto read = watcher.next(at(200));
        CHECK(isCompleteRead(read));
        CHECK(std::get<ReadPart>(read->call).freshness == ReadFreshness::Current);
    }
}

TEST_CASE("the backoff between failed calls stays short enough to notice the store's return")
{
    DirectoryWatcher watcher = followingWatcher();
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
    DirectoryWatcher watcher = followingWatcher();
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
    DirectoryWatcher watcher = followingWatcher();
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    const auto watch = watcher.next(at(4));
    CHECK_FALSE(watcher.onAnswer(watch->number, answerAt(6), at(50)));
    CHECK(watcher.revision() == Revision{ 7 });
}

TEST_CASE("a watcher makes no calls while another balancer follows, and reads the complete part when it follows again")
{
    DirectoryWatcher watcher = followingWatcher();
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    watcher.setFollowing(false, at(5));
    CHECK_FALSE(watcher.next(at(5000)));
    watcher.setFollowing(true, at(6000));
    CHECK(isCompleteRead(watcher.next(at(6000))));
}

TEST_CASE("a balancer that begins to follow right after a read only requests the changes since")
{
    DirectoryWatcher watcher(wait, ReadFreshness::Current, 1);
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    watcher.setFollowing(true, at(1000));
    const auto due = watcher.next(at(1000));
    REQUIRE(due);
    CHECK(due->reason == StoreCallReason::Takeover);
    CHECK(std::get<WatchPart>(due->call).after == Revision{ 7 });
}

TEST_CASE("catching up takes one call, or a complete read if the store no longer has the history")
{
    DirectoryWatcher watcher(wait, ReadFreshness::Current, 1);
    watcher.onAnswer(watcher.next(at(0))->number, answerAt(7), at(4));
    watcher.catchUp(Revision{ 9 }, at(5000));
    const auto due = watcher.next(at(5000));
    REQUIRE(due);
    CHECK(std::get<WatchPart>(due->call).after == Revision{ 9 });
    SECTION("the store has the changes")
    {
        CHECK(watcher.onAnswer(due->number, answerAt(12), at(5004)));
        CHECK_FALSE(watcher.next(at(60'000)));
    }
    SECTION("the store forgot them")
    {
        watcher.onAnswer(due->number, failure(StoreError::NotFound), at(5004));
        CHECK(isCompleteRead(watcher.next(at(5200))));
    }
    SECTION("the store does not answer")
    {
        watcher.onAnswer(due->number, failure(StoreError::Busy), at(5004));
        CHECK_FALSE(watcher.next(at(60'000)));
    }
}

TEST_CASE("a follower watches after a truncated list, and reads the list again after a while")
{
    DirectoryWatcher watcher = followingWatcher();
    CHECK(watcher.onAnswer(watcher.next(at(0))->number, truncatedList(7, {}), at(4)));
    CHECK_FALSE(watcher.currentAt());
    std::uint64_t reads = 0;
    for (TimePoint now = at(4); now <= at(10'000); now += wait) {
        const auto due = watcher.next(now);
        REQUIRE(due);
        reads += isCompleteRead(due) ? 1 : 0;
        watcher.onAnswer(due->number, isCompleteRead(due) ? truncatedList(7, {}) : answerAt(7), now + wait);
    }
    CHECK(reads >= 3);
    CHECK(reads <= 5);
    DirectoryResult whole = answerAt(9);
    whole.complete = true;
    for (TimePoint now = at(12'000); !watcher.currentAt(); now += wait) {
        const auto due = watcher.next(now);
        REQUIRE(due);
        watcher.onAnswer(due->number, isCompleteRead(due) ? whole : answerAt(7), now);
    }
    CHECK_FALSE(isCompleteRead(watcher.next(at(60'000))));
}

// Guards against a truncated first list that counts as the whole one, after which nothing asked for the missing targets.
TEST_CASE("a truncated first list is routed with, but is neither confirmed nor passed on, and a peer completes it")
{
    StartingBalancer balancer;
    balancer.answer(DirectoryPart::Services, servicesAt(5), at(4));
    balancer.answer(DirectoryPart::Targets, truncatedList(5, { present(1, 3) }), at(8));
    REQUIRE(balancer.all<PublishTargets>().size() == 1);
    CHECK_FALSE(balancer.all<PublishTargets>().front().update.complete);
    CHECK(balancer.sync.targets().lastChange() == Revision{ 0 });
    CHECK_FALSE(balancer.sync.ready());
    balancer.runUntil(at(700));
    const auto requests = balancer.sent<DirectoryRequest>();
    REQUIRE_FALSE(requests.empty());
    CHECK(requests.back().targets == Revision{ 0 });
    CHECK_FALSE(requests.back().changesOnly);
    SECTION("a peer has the whole list")
    {
        DirectoryContent content;
        content.targets = completeList(9, { present(1, 3), present(2, 4) });
        balancer.sync.onMessage(highAddress, ZoneId{}, content, at(710), balancer.actions);
        const auto published = balancer.all<PublishTargets>();
        REQUIRE(published.size() == 2);
        CHECK_FALSE(published.back().update.complete);
        REQUIRE(published.back().update.changes.size() == 1);
        CHECK(published.back().update.changes.front().target.target.id == TargetId{ 2 });
        CHECK(balancer.sync.targets().revision() == Revision{ 9 });
        CHECK(balancer.sync.ready());
    }
    SECTION("no peer answers")
    {
        balancer.runUntil(at(1500));
        REQUIRE(balancer.sync.ready());
        CHECK_FALSE(balancer.all<DirectoryReady>().front().confirmed);
        balancer.actions.clear();
        balancer.sync.onMessage(highAddress, ZoneId{}, DirectoryRequest{}, at(1510), balancer.actions);
        const auto content = balancer.sent<DirectoryContent>();
        REQUIRE(content.size() == 1);
        CHECK(content.front().services);
        CHECK_FALSE(content.front().targets.complete);
        CHECK(content.front().targets.changes.empty());
    }
}

// Guards against a stale list that is confirmed by a peer whose list is older, or by a beacon of a follower whose list
// differs: the balancer then used targets that drain, and did not know new ones.
TEST_CASE("a list that was read at the start is confirmed neither by older content nor by a different list")
{
    StartingBalancer balancer;
    readAtStart(balancer);
    DirectoryContent older;
    older.targets = changes(7, {});
    older.targetsAfter = Revision{ 9 };
    balancer.sync.onMessage(highAddress, ZoneId{}, older, at(10), balancer.actions);
    DirectoryBeacon beacon = beaconOf(highAddress, 20);
    beacon.targetsDigest = balancer.sync.targets().digest() + 1;
    balancer.sync.onMessage(highAddress, ZoneId{}, beacon, at(20), balancer.actions);
    CHECK_FALSE(balancer.sync.ready());
    SECTION("the follower has the same list")
    {
        beacon.targetsDigest = balancer.sync.targets().digest();
        balancer.sync.onMessage(highAddress, ZoneId{}, beacon, at(30), balancer.actions);
        CHECK(balancer.sync.ready());
    }
    SECTION("the store has the changes since")
    {
        balancer.runUntil(at(100));
        REQUIRE(std::holds_alternative<WatchPart>(balancer.all<CallStore>().back().due.call));
        DirectoryResult since = answerAt(10);
        since.targets = { present(1, 10, TargetState::Draining) };
        balancer.answer(DirectoryPart::Targets, since, at(110));
        CHECK(balancer.sync.ready());
        CHECK(balancer.all<DirectoryReady>().back().confirmed);
    }
}

// Guards against a follower that sends nobody its list, so that each balancer far behind reads the store itself.
TEST_CASE("a list that the store confirmed after the balancer became ready is sent as the complete one, not before")
{
    StartingBalancer balancer;
    DirectoryResult list = readAtStart(balancer);
    balancer.runUntil(at(1500));
    REQUIRE(balancer.sync.ready());
    REQUIRE_FALSE(balancer.all<DirectoryReady>().front().confirmed);
    const DirectoryRequest behind{ 3, Revision{ 5 } };
    balancer.actions.clear();
    balancer.sync.onMessage(highAddress, ZoneId{}, behind, at(1510), balancer.actions);
    CHECK(balancer.sent<DirectoryContent>().empty());
    balancer.runUntil(at(2500));
    REQUIRE(balancer.sync.follows());
    list.revision = Revision{ 20 };
    balancer.answer(DirectoryPart::Targets, list, at(2510));
    balancer.actions.clear();
    balancer.sync.onMessage(highAddress, ZoneId{}, behind, at(2600), balancer.actions);
    const auto content = balancer.sent<DirectoryContent>();
    REQUIRE(content.size() == 1);
    CHECK(content.front().targets.complete);
}

TEST_CASE("a truncated list removes no target and does not advance the revision, nor do the changes after it")
{
    DirectorySync sync = readySync();
    DirectoryActions actions;
    DirectoryContent content;
    content.targets = completeList(6, { present(1, 3), present(2, 4) });
    sync.onMessage(highAddress, ZoneId{}, content, at(10), actions);
    REQUIRE(sync.targets().size() == 2);
    sync.onTimer(at(3000), actions);
    sync.onTimer(at(3000) + DirectoryElection::UnjoinedDelay, actions);
    REQUIRE(sync.follows());
    const auto answerLast = [&](DirectoryResult result, TimePoint now) {
        std::optional<std::uint64_t> number;
        for (const DirectoryAction &action : actions) {
            const auto *call = std::get_if<CallStore>(&action);
            number = call && call->part == DirectoryPart::Targets ? std::optional(call->due.number) : number;
        }
        REQUIRE(number);
        actions.clear();
        sync.onStoreAnswer(DirectoryPart::Targets, *number, std::move(result), now, actions);
    };
    answerLast(truncatedList(20, { present(1, 15, TargetState::Draining) }), at(4210));
    CHECK(sync.targets().size() == 2);
    CHECK(sync.targets().revision() == Revision{ 6 });
    sync.onTimer(at(4400), actions);
    DirectoryResult change = answerAt(22);
    change.targets = { present(3, 22) };
    answerLast(change, at(4410));
    CHECK(sync.targets().size() == 3);
    CHECK(sync.targets().revision() == Revision{ 6 });
}

TEST_CASE("a balancer follows the store when no follower with recent contact is heard")
{
    DirectoryElection election(lowAddress, 10, at(0));
    election.setMembers({ member(lowAddress, 10) });
    const auto update = [&](int time) {
        election.update(std::nullopt, true, at(time));
        return election.follows();
    };
    CHECK_FALSE(update(0));
    SECTION("none is heard after the start")
    {
        CHECK_FALSE(update(399));
        CHECK(update(400));
    }
    SECTION("one is heard")
    {
        election.onBeacon(beaconOf(highAddress, 20), at(100));
        CHECK_FALSE(update(1000));
        SECTION("its beacons stop")
        {
            CHECK(update(1100));
        }
        SECTION("its contact to the store is lost")
        {
            election.onBeacon(beaconOf(highAddress, 20, maxContactAgeMs), at(1000));
            CHECK(update(1000));
        }
        SECTION("it says that it leaves")
        {
            DirectoryElection leaving(highAddress, 20, at(0));
            election.onBeacon(leaving.farewell({}), at(1000));
            CHECK(update(1000));
        }
    }
}

TEST_CASE("balancers take over in the order of their rank, each in time for the beacon of the one before")
{
    const std::vector<HostRecord> members{ member(lowAddress, 10), member(highAddress, 10), member(thirdAddress, 50) };
    std::vector<TimePoint> follows;
    for (const HostRecord &self : { members[2], members[1], members[0] }) {
        DirectoryElection election(self.address, self.rank, at(0));
        election.setMembers(members);
        TimePoint now = at(0);
        for (; !election.follows(); now += Milliseconds(1)) {
            election.update(std::nullopt, true, now);
        }
        follows.push_back(now);
    }
    CHECK(follows[1] - follows[0] == DirectoryElection::SuccessionStep);
    CHECK(follows[2] - follows[1] == DirectoryElection::SuccessionStep);
}

TEST_CASE("of two followers with contact the lower-ranked one yields, and one without contact yields to any")
{
    for (const bool hasContact : { true, false }) {
        DirectoryElection higher(highAddress, 20, at(0));
        DirectoryElection lower(lowAddress, 10, at(0));
        for (DirectoryElection *election : { &higher, &lower }) {
            election->setMembers({});
            election->update(std::nullopt, true, at(400));
            REQUIRE(election->follows());
        }
        higher.onBeacon(beaconOf(lowAddress, 10), at(500));
        lower.onBeacon(beaconOf(highAddress, 20, hasContact ? 0 : 5000), at(500));
        higher.update(hasContact ? std::optional(at(450)) : std::nullopt, true, at(500));
        lower.update(at(450), true, at(500));
        CHECK(higher.follows() == hasContact);
        CHECK(lower.follows() == !hasContact);
    }
}

TEST_CASE("of two balancers with the same rank exactly one follows")
{
    DirectoryElection first(lowAddress, 10, at(0));
    DirectoryElection second(highAddress, 10, at(0));
    for (DirectoryElection *election : { &first, &second }) {
        election->setMembers({});
        election->update(std::nullopt, true, at(400));
        REQUIRE(election->follows());
    }
    const DirectoryState state{ 3, Revision{ 5 }, at(395), 0 };
    const auto fromFirst = first.beacon(state, at(400));
    const auto fromSecond = second.beacon(state, at(400));
    REQUIRE(fromFirst);
    REQUIRE(fromSecond);
    first.onBeacon(*fromSecond, at(401));
    second.onBeacon(*fromFirst, at(401));
    first.update(state.lastContact, true, at(402));
    second.update(state.lastContact, true, at(402));
    CHECK(first.follows() != second.follows());
}

TEST_CASE("a balancer that is behind asks the sender of the beacon, and the store if that does not help in time")
{
    DirectorySync sync = readySync();
    DirectoryBeacon newer = beaconOf(highAddress, 20);
    DirectoryPart part = DirectoryPart::Services;
    SECTION("behind with the services")
    {
        newer.serviceVersion = 4;
    }
    SECTION("behind with the targets")
    {
        part = DirectoryPart::Targets;
        newer.targets = Revision{ 6 };
        newer.targetsDigest = 1;
    }
    const Reaction first = reactionTo(sync, newer, at(100));
    REQUIRE(first.request);
    CHECK(first.request->serviceVersion == 3);
    CHECK(first.request->targets == Revision{ 5 });
    CHECK(first.calls.empty());
    CHECK_FALSE(reactionTo(sync, newer, at(200)).request);
    CHECK(reactionTo(sync, newer, at(300)).request);
    const TimePoint soonest = at(100) + DirectorySync::StoreFallbackDelay;
    CHECK(reactionTo(sync, newer, soonest - Milliseconds(1)).calls.empty());
    const Reaction last = reactionTo(sync, newer, soonest + DirectorySync::StoreFallbackSpread);
    REQUIRE(last.calls.size() == 1);
    CHECK(last.calls.front().part == part);
    CHECK(last.calls.front().due.reason == StoreCallReason::CatchUp);
    CHECK(std::holds_alternative<ReadPart>(last.calls.front().due.call) == (part == DirectoryPart::Services));
}

TEST_CASE("a balancer that leaves does not follow")
{
    DirectoryElection election(lowAddress, 10, at(0));
    election.setMembers({});
    election.update(std::nullopt, true, at(400));
    REQUIRE(election.follows());
    CHECK(election.update(at(400), false, at(500)));
    CHECK_FALSE(election.follows());
    CHECK_FALSE(election.beacon({}, at(2000)));
    CHECK(election.nextTimer(at(2000)) == TimePoint::max());
}

TEST_CASE("beacons are sent without contact to the store too, and at once when the contact is there")
{
    DirectoryElection election(lowAddress, 10, at(0));
    election.setMembers({});
    election.update(std::nullopt, true, at(400));
    const auto beacon = election.beacon({ 3, Revision{ 5 }, std::nullopt }, at(400));
    REQUIRE(beacon);
    CHECK(Milliseconds(beacon->contactAgeMs) > DirectoryElection::MaxContactAge);
    CHECK_FALSE(election.beacon({ 3, Revision{ 5 }, std::nullopt }, at(410)));
    const auto regained = election.beacon({ 3, Revision{ 5 }, at(415) }, at(420));
    REQUIRE(regained);
    CHECK(regained->contactAgeMs == 5);
    CHECK_FALSE(election.beacon({ 3, Revision{ 5 }, at(415) }, at(430)));
    CHECK(election.beacon({ 3, Revision{ 5 }, at(415) }, at(720)));
}

TEST_CASE("equal lists have equal digests, whatever the order of the changes that led to them")
{
    TargetReplica first;
    TargetReplica second;
    first.apply(completeList(10, { present(1, 3), present(2, 4), present(3, 5) }), at(0));
    first.apply(changes(12, { gone(2, 12) }), at(1));
    second.apply(completeList(20, { present(3, 5), present(1, 3) }), at(0));
    CHECK(first.digest() == second.digest());
    CHECK(first.lastChange() < second.lastChange());
    first.confirmSame(second.lastChange());
    CHECK(first.lastChange() == second.lastChange());
    CHECK_FALSE(first.hasChangesSince(Revision{ 12 }));
    second.apply(changes(21, { present(1, 21, TargetState::Draining) }), at(2));
    CHECK(first.digest() != second.digest());
}

TEST_CASE("an active target whose entry disappears stays in use for a grace period")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate lost = replica.apply(changes(11, { gone(1, 11) }), at(100));
    REQUIRE(lost.changes.size() == 1);
    CHECK(lost.changes.front().listing == ListingState::Expired);
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

TEST_CASE("entries that are missing from a complete list expire like deleted ones")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    const TargetUpdate update = replica.apply(completeList(20, { present(2, 4) }), at(100));
    REQUIRE(update.changes.size() == 1);
    CHECK(update.changes.front().target.target.id == TargetId{ 1 });
    CHECK(update.changes.front().listing == ListingState::Expired);
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
    CHECK(update.changes.front().listing == ListingState::Expired);
}

// Guards against lists that lack live targets after a restart in an outage of the store, and reset their flows.
TEST_CASE("a list that was read while an entry was missing gets it from a peer that never saw it missing")
{
    TargetReplica peer;
    peer.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    // The entry expired and was written again unchanged between two reads of the peer.
    CHECK(peer.apply(completeList(30, { present(1, 25), present(2, 4) }), at(4000)).changes.empty());
    TargetReplica fresh;
    fresh.apply(completeList(20, { present(2, 4) }), at(4100));
    fresh.apply(peer.updateSince(fresh.revision()), at(4110));
    CHECK(fresh.size() == 2);
    CHECK(fresh.digest() == peer.digest());
}

TEST_CASE("balancers do not pass an expired entry back and forth forever")
{
    TargetReplica first;
    TargetReplica second;
    first.apply(completeList(10, { present(1, 3) }), at(0));
    second.apply(first.updateSince({}), at(0));
    second.apply(completeList(20, {}), at(4000));
    first.apply(completeList(20, {}), at(5000));
    second.onTimer(at(6300));
    CHECK(second.expiredCount() == 0);
    // The first replica still keeps the expired entry, which the second one has removed.
    CHECK(second.apply(first.updateSince(second.lastChange()), at(6400)).changes.empty());
    CHECK(second.expiredCount() == 0);
}

TEST_CASE("a balancer that starts while the store lacks entries takes over the expired ones of its peers")
{
    TargetReplica peer;
    peer.apply(completeList(10, { present(1, 3), present(2, 4) }), at(0));
    peer.apply(completeList(20, {}), at(100));
    TargetReplica fresh;
    fresh.apply(completeList(20, {}), at(200));
    const TargetUpdate update = fresh.apply(peer.updateSince(Revision{ 20 }), at(210));
    CHECK(update.changes.size() == 2);
    CHECK(update.changes.front().listing == ListingState::Expired);
}

TEST_CASE("140,000 entries that expire at once, as in an outage of the store, are handled within the time for a change")
{
    constexpr std::uint64_t count = 140'000;
    TargetReplica replica;
    std::vector<TargetChange> list;
    for (std::uint64_t id = 1; id <= count; ++id) {
        list.push_back(present(id, 3));
    }
    replica.apply(completeList(10, std::move(list)), at(0));
    const auto before = std::chrono::steady_clock::now();
    replica.apply(completeList(20, {}), at(100));
    CHECK(replica.expiredCount() == count);
    CHECK(replica.onTimer(at(100) + TargetReplica::ExpiredGracePeriod).changes.size() == count);
    CHECK(replica.expiredCount() == 0);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(3));
}

TEST_CASE("an entry that expires, returns and expires again stays for a grace period after the second time")
{
    TargetReplica replica;
    replica.apply(completeList(10, { present(1, 3) }), at(0));
    replica.apply(completeList(20, {}), at(100));
    replica.apply(completeList(30, { present(1, 30) }), at(1000));
    replica.apply(completeList(40, {}), at(1500));
    CHECK(replica.onTimer(at(100) + TargetReplica::ExpiredGracePeriod).changes.empty());
    CHECK(replica.expiredCount() == 1);
    CHECK(replica.onTimer(at(1500) + TargetReplica::ExpiredGracePeriod).changes.size() == 1);
    CHECK(replica.expiredCount() == 0);
}
