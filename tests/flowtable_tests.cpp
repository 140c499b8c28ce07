#include "service/flowtable.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using std::chrono::seconds;

TEST_CASE("a repeated sequence number is never reported as unseen")
{
    SequenceWindow window;
    window.markSeen(1);
    window.markSeen(70);
    CHECK(window.stateOf(70) == SequenceState::Seen);
    CHECK(window.stateOf(7) == SequenceState::Unseen);
    CHECK(window.stateOf(6) == SequenceState::BelowWindow);
    CHECK(window.stateOf(1) == SequenceState::BelowWindow);
    window.markSeen(7);
    window.markRefused(7);
    CHECK(window.stateOf(7) == SequenceState::Refused);
    window.markSeen(71);
    CHECK(window.stateOf(70) == SequenceState::Seen);
    CHECK(window.stateOf(7) == SequenceState::BelowWindow);
    window.markSeen(1000);
    CHECK(window.stateOf(999) == SequenceState::Unseen);
}

TEST_CASE("a flood of new flows does not evict established flows")
{
    const TimePoint now{};
    FlowTable table(1000, seconds(120), now);
    for (std::uint64_t i = 0; i < 900; ++i) {
        table.findOrInsert(FlowId{ i }, now)->established = true;
    }
    for (std::uint64_t i = 0; i < 100000; ++i) {
        table.findOrInsert(FlowId{ 10000 + i }, now);
    }
    CHECK(table.size() == 1000);
    for (std::uint64_t i = 0; i < 900; ++i) {
        REQUIRE(table.find(FlowId{ i }) != nullptr);
    }
}

TEST_CASE("idle flows expire in bounded time and flows with active requests stay")
{
    const TimePoint start{};
    FlowTable table(1000, seconds(120), start);
    for (std::uint64_t i = 0; i < 100; ++i) {
        table.findOrInsert(FlowId{ i }, start)->activeRequests = i < 10 ? 1 : 0;
    }
    TimePoint now = start;
    while (now < start + seconds(119)) {
        now += FlowTable::SweepInterval;
        table.onTimer(now);
    }
    CHECK(table.size() == 100);
    while (now < start + seconds(140)) {
        now += FlowTable::SweepInterval;
        table.onTimer(now);
    }
    CHECK(table.size() == 10);
}
