#include "target/targetevidence.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };

TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

TargetEvidence answeringTarget()
{
    TargetEvidence evidence;
    evidence.reset(start);
    return evidence;
}

} // namespace

TEST_CASE("two flows that repeat themselves without progress make a target silent")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    CHECK(evidence.belief() == TargetBelief::Answering);
    evidence.onRepeat(2, at(20), at(220));
    CHECK(evidence.belief() == TargetBelief::Suspected);
    evidence.onRepeat(1, at(0), at(600));
    CHECK(evidence.belief() == TargetBelief::Suspected);
    evidence.onRepeat(2, at(20), at(620));
    CHECK(evidence.belief() == TargetBelief::Silent);
}

TEST_CASE("two packets that were lost do not make a live target silent, whenever they were sent")
{
    for (int second = 0; second < 1000; second += 10) {
        TargetEvidence evidence = answeringTarget();
        evidence.onRepeat(1, at(0), at(200));
        evidence.onRepeat(2, at(second), at(second + 200));
        CHECK(evidence.belief() != TargetBelief::Silent);
    }
}

TEST_CASE("a flow that ended does not count against its target")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    evidence.onRepeat(1, at(0), at(600));
    evidence.onFlowEnded(1);
    evidence.onRepeat(2, at(100), at(300));
    evidence.onRepeat(2, at(100), at(700));
    CHECK(evidence.belief() != TargetBelief::Silent);
}

TEST_CASE("a single flow that repeats itself does not make a target silent: its packets alone may be lost")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    evidence.onRepeat(1, at(0), at(600));
    evidence.onRepeat(1, at(0), at(1400));
    CHECK(evidence.belief() == TargetBelief::Answering);
}

TEST_CASE("progress of any flow makes a silent target answering")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(600));
    evidence.onRepeat(2, at(0), at(600));
    REQUIRE(evidence.belief() == TargetBelief::Silent);
    evidence.onProgress(at(650));
    CHECK(evidence.belief() == TargetBelief::Answering);
    CHECK(evidence.repeating(at(650)) == 0);
}

TEST_CASE("an old repeat of a flow that went on through another balancer does not count")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    evidence.onRepeat(2, at(2000), at(2200));
    evidence.onRepeat(2, at(2000), at(2600));
    CHECK(evidence.belief() == TargetBelief::Answering);
}

TEST_CASE("repeats that another balancer sees count like those here")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onPeerReport(7, 1, Milliseconds(500), at(550));
    evidence.onRepeat(1, at(0), at(600));
    CHECK(evidence.belief() == TargetBelief::Silent);
}

TEST_CASE("an old report of another balancer does not count")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onPeerReport(7, 1, Milliseconds(500), at(550));
    evidence.onRepeat(1, at(1000), at(1700));
    CHECK(evidence.belief() == TargetBelief::Answering);
}

TEST_CASE("progress that another balancer sees keeps a target from being silent")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    evidence.onRepeat(2, at(0), at(200));
    evidence.onPeerReport(7, 0, Milliseconds(50), at(500));
    CHECK(evidence.belief() == TargetBelief::Answering);
    evidence.onRepeat(1, at(0), at(600));
    evidence.onRepeat(2, at(0), at(600));
    CHECK(evidence.belief() != TargetBelief::Silent);
}

TEST_CASE("a suspected target gets one new flow in each trial period")
{
    TargetEvidence evidence = answeringTarget();
    evidence.onRepeat(1, at(0), at(200));
    evidence.onRepeat(2, at(0), at(200));
    REQUIRE(evidence.belief() == TargetBelief::Suspected);
    CHECK_FALSE(evidence.takeTrial(at(300)));
    CHECK(evidence.takeTrial(at(2300)));
    CHECK_FALSE(evidence.takeTrial(at(2400)));
}
