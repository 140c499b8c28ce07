#include "dispatchersimulation.h"
#include "host/readiness.h"
#include "link/targetconnections.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace poplarroad;

TEST_CASE(
    "a starting balancer routes once it has a configuration and joined its zone, and to all zones once it reaches them")
{
    Configuration current = makeTestConfiguration(1);
    const ConfigChange change{ Revision{ current.revision().value + 1 }, current.revision(), "id",
                               PutZone{ { zoneIdOf("b"), "b" } } };
    REQUIRE(current.apply(change));
    const auto configuration = std::make_shared<Configuration>(current);
    auto view = makeView({ 1, 1 }, 1, { { 1, 1 } });
    view->joined = false;
    CHECK(readinessOf(configuration, nullptr) == Readiness::None);
    CHECK(readinessOf(configuration, view) == Readiness::None);
    view->joined = true;
    CHECK(readinessOf(nullptr, view) == Readiness::None);
    CHECK(readinessOf(std::make_shared<Configuration>(), view) == Readiness::None);
    CHECK(readinessOf(configuration, view) == Readiness::OwnZone);
    ZoneSummary other;
    other.zone = zoneIdOf("b");
    view->otherZones = { other };
    CHECK(readinessOf(configuration, view) == Readiness::OwnZone);
    view->otherZones[0].reachable = true;
    CHECK(readinessOf(configuration, view) == Readiness::AllZones);
}

// The result of the cancelled run arrives after the feed was started again, and must not end the new run.
TEST_CASE("a late result of a cancelled run does not prevent the cancellation of a later run of the same feed")
{
    EventLoop loop;
    WireCodec codec{ TokenCodec(KeyRing({ Key{} })) };
    CounterSet counters;
    std::vector<std::unique_ptr<FrameConnection>> accepted;
    std::vector<std::string> calls;
    bool timedOut = false;
    LoopTimer limit(loop, [&] { timedOut = true; });
    const auto runUntilCalls = [&](std::size_t count) {
        limit.armAfter(Milliseconds(2000));
        while (calls.size() < count && !timedOut) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        REQUIRE(calls.size() == count);
    };
    const HostAddress address{ 0x7f000001, static_cast<std::uint16_t>(30000 + getpid() % 2000) };
    Listener listener(loop, address, [&](evutil_socket_t socket, const HostAddress &) {
        accepted.push_back(std::make_unique<FrameConnection>(
            loop, socket, FrameLimits{}, [&](std::string_view frame) { calls.emplace_back(frame); },
            [](ConnectionEnd) {}));
    });
    REQUIRE(listener.listening());
    SocketTargetConnections targets(loop, codec, Milliseconds(1000), counters,
                                    [](const PoolId &, const TargetEvent &) {});
    const RunAtTarget run{ targetIdOf("t0"), Occupancy::Connection, makeRequest(FeedKind, 5, 1) };
    const CancelAtTarget cancel{ run.target, run.request.id };
    targets.run(TestPool, address, run);
    runUntilCalls(1);
    targets.cancel(cancel);
    targets.run(TestPool, address, run);
    runUntilCalls(3);
    accepted[0]->send(encodeTargetEvent(TargetResult{ {}, run.request.id, 1, true, "" }));
    LoopTimer end(loop, [&] { loop.stop(); });
    end.armAfter(Milliseconds(100));
    loop.run();
    targets.cancel(cancel);
    runUntilCalls(4);
}
