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

LivenessDetector answeringDetector()
{
    LivenessDetector detector;
    detector.reset(start);
    return detector;
}

} // namespace

TEST_CASE("two flows that repeat themselves without progress make a target silent")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    CHECK(detector.liveness() == TargetLiveness::Answering);
    detector.onRetransmission(2, at(20), at(220));
    CHECK(detector.liveness() == TargetLiveness::Suspected);
    detector.onRetransmission(1, at(0), at(600));
    CHECK(detector.liveness() == TargetLiveness::Suspected);
    detector.onRetransmission(2, at(20), at(620));
    CHECK(detector.liveness() == TargetLiveness::Silent);
}

TEST_CASE("two packets that were lost do not make a live target silent, whenever they were sent")
{
    for (int second = 0; second < 1000; second += 10) {
        LivenessDetector detector = answeringDetector();
        detector.onRetransmission(1, at(0), at(200));
        detector.onRetransmission(2, at(second), at(second + 200));
        CHECK(detector.liveness() != TargetLiveness::Silent);
    }
}

TEST_CASE("a flow that ended does not count against its target")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    detector.onRetransmission(1, at(0), at(600));
    detector.onFlowEnded(1);
    detector.onRetransmission(2, at(100), at(300));
    detector.onRetransmission(2, at(100), at(700));
    CHECK(detector.liveness() != TargetLiveness::Silent);
}

TEST_CASE("a single flow that repeats itself does not make a target silent: its packets alone may be lost")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    detector.onRetransmission(1, at(0), at(600));
    detector.onRetransmission(1, at(0), at(1400));
    CHECK(detector.liveness() == TargetLiveness::Answering);
}

TEST_CASE("progress of any flow makes a silent target answering")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(600));
    detector.onRetransmission(2, at(0), at(600));
    REQUIRE(detector.liveness() == TargetLiveness::Silent);
    detector.onProgress(at(650));
    CHECK(detector.liveness() == TargetLiveness::Answering);
    CHECK(detector.retransmittingFlows(at(650)) == 0);
}

TEST_CASE("an old repeat of a flow that went on through another balancer does not count")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    detector.onRetransmission(2, at(2000), at(2200));
    detector.onRetransmission(2, at(2000), at(2600));
    CHECK(detector.liveness() == TargetLiveness::Answering);
}

TEST_CASE("repeats that another balancer sees count like those here")
{
    LivenessDetector detector = answeringDetector();
    detector.onPeerReport(7, 1, Milliseconds(500), at(550));
    detector.onRetransmission(1, at(0), at(600));
    CHECK(detector.liveness() == TargetLiveness::Silent);
}

TEST_CASE("an old report of another balancer does not count")
{
    LivenessDetector detector = answeringDetector();
    detector.onPeerReport(7, 1, Milliseconds(500), at(550));
    detector.onRetransmission(1, at(1000), at(1700));
    CHECK(detector.liveness() == TargetLiveness::Answering);
}

TEST_CASE("progress that another balancer sees keeps a target from being silent")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    detector.onRetransmission(2, at(0), at(200));
    detector.onPeerReport(7, 0, Milliseconds(50), at(500));
    CHECK(detector.liveness() == TargetLiveness::Answering);
    detector.onRetransmission(1, at(0), at(600));
    detector.onRetransmission(2, at(0), at(600));
    CHECK(detector.liveness() != TargetLiveness::Silent);
}

TEST_CASE("a suspected target gets one new flow in each trial period")
{
    LivenessDetector detector = answeringDetector();
    detector.onRetransmission(1, at(0), at(200));
    detector.onRetransmission(2, at(0), at(200));
    REQUIRE(detector.liveness() == TargetLiveness::Suspected);
    CHECK_FALSE(detector.tryStartTrial(at(300)));
    CHECK(detector.tryStartTrial(at(2300)));
    CHECK_FALSE(detector.tryStartTrial(at(2400)));
}
