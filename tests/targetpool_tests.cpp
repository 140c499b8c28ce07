#include "poplarroad/targetpool.h"
#include "target/targetlimit.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>

using namespace poplarroad;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

std::vector<Target> makeTargets(std::size_t count)
{
    std::vector<Target> targets(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets[i].id = TargetId{ i + 1 };
        targets[i].slots = 3;
    }
    return targets;
}

void runRequest(TargetPool &pool, TargetId target, TargetOutcome outcome, TimePoint now)
{
    pool.begin(target, Occupancy::Slot, now);
    pool.end(target, Occupancy::Slot, outcome, milliseconds(20), now);
}

std::size_t ejectedCount(const TargetPool &pool)
{
    std::size_t ejected = 0;
    for (const TargetStatus &status : pool.status()) {
        ejected += status.ejected ? 1 : 0;
    }
    return ejected;
}

} // namespace

TEST_CASE("at most half of the targets are ejected, so a common fault does not empty the pool")
{
    for (const std::size_t count : { 1U, 2U, 3U, 14U }) {
        TargetPool pool(1);
        pool.setTargets(makeTargets(count), TimePoint{});
        for (int i = 0; i < 20; ++i) {
            for (std::size_t t = 1; t <= count; ++t) {
                runRequest(pool, TargetId{ t }, TargetOutcome::Lost, TimePoint{});
            }
        }
        CHECK(ejectedCount(pool) == count / 2);
        CHECK(pool.choose(Occupancy::Slot, TimePoint{}).has_value());
    }
}

TEST_CASE("an unhealthy report of a target that answers does not eject it")
{
    TargetPool pool(1);
    pool.setTargets(makeTargets(4), TimePoint{});
    pool.onReport(TargetId{ 1 }, false, 1000, TimePoint{});
    for (int i = 0; i < 100; ++i) {
        runRequest(pool, TargetId{ 1 }, TargetOutcome::Answered, TimePoint{});
    }
    CHECK(ejectedCount(pool) == 0);
}

TEST_CASE("a readmitted target gets one request at a time at first, not a burst")
{
    TargetPool pool(1);
    pool.setTargets(makeTargets(4), TimePoint{});
    TimePoint now{};
    for (int i = 0; i < 5; ++i) {
        runRequest(pool, TargetId{ 1 }, TargetOutcome::Lost, now);
    }
    REQUIRE_FALSE(pool.acceptsNewFlows(TargetId{ 1 }));
    now = pool.nextTimer();
    pool.onTimer(now);
    REQUIRE(pool.acceptsNewFlows(TargetId{ 1 }));
    pool.begin(TargetId{ 1 }, Occupancy::Slot, now);
    CHECK_FALSE(pool.hasRoom(TargetId{ 1 }, Occupancy::Slot));
}

TEST_CASE("the limit falls below the concurrency at which the target shed a request and stays there")
{
    TargetLimit limit(3, false);
    TimePoint now{};
    now += seconds(1);
    for (int i = 0; i < 200; ++i) {
        limit.onAnswered(milliseconds(20), limit.limit(), now);
    }
    CHECK(limit.limit() == 6);
    limit.onShed(4, now);
    CHECK(limit.limit() == 3);
    for (int i = 0; i < 200; ++i) {
        limit.onAnswered(milliseconds(20), limit.limit(), now);
    }
    CHECK(limit.limit() == 3);
}

TEST_CASE("slow answers and shed requests above the declared slots never decrease the limit below them")
{
    for (const std::uint32_t slots : { 2U, 3U }) {
        TargetLimit limit(slots, false);
        TimePoint now = TimePoint{} + seconds(1);
        for (int i = 0; i < 200; ++i) {
            now += milliseconds(150);
            // Every second answer is slow, as with a varying service time; the limit increases and decreases in turn.
            limit.onAnswered(milliseconds(i % 2 == 0 ? 10 : 50), limit.limit(), now);
            CHECK(limit.limit() >= slots);
        }
        limit.onShed(slots + 1, now + seconds(1));
        CHECK(limit.limit() == slots);
    }
}

TEST_CASE("a target that is added to a pool in use gets one request at a time at first")
{
    TargetPool pool(1);
    pool.setTargets(makeTargets(4), TimePoint{});
    runRequest(pool, TargetId{ 1 }, TargetOutcome::Answered, TimePoint{});
    pool.setTargets(makeTargets(5), TimePoint{});
    pool.begin(TargetId{ 5 }, Occupancy::Slot, TimePoint{});
    CHECK_FALSE(pool.hasRoom(TargetId{ 5 }, Occupancy::Slot));
}

TEST_CASE("at 70% load no target gets more than 110% of the mean number of requests over 10 s")
{
    TargetPool pool(1);
    pool.setTargets(makeTargets(14), TimePoint{});
    std::mt19937_64 random(1);
    std::exponential_distribution<double> interArrival(0.7 * 42 / 0.020);
    std::multimap<TimePoint, TargetId> running;
    std::map<TargetId, int> requests;
    TimePoint now{};
    while (now < TimePoint{} + seconds(10)) {
        now += std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(interArrival(random)));
        while (!running.empty() && running.begin()->first <= now) {
            pool.end(running.begin()->second, Occupancy::Slot, TargetOutcome::Answered, milliseconds(20), now);
            running.erase(running.begin());
        }
        if (const auto target = pool.chooseWithRoom(Occupancy::Slot, 0, now)) {
            pool.begin(*target, Occupancy::Slot, now);
            running.emplace(now + milliseconds(10 + random() % 20), *target);
            ++requests[*target];
        }
    }
    int largest = 0;
    int sum = 0;
    for (const auto &[target, count] : requests) {
        largest = std::max(largest, count);
        sum += count;
    }
    CHECK(largest * 14.0 / sum <= 1.10);
}
