#include "dispatcherworld.h"
#include "host/readiness.h"
#include "link/targetconnections.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace poplarroad;

TEST_CASE("a starting balancer answers callers before it knows the services and reaches the zones")
{
    Configuration declared = worldConfiguration(1);
    const ConfigChange change{ Revision{ declared.revision().value + 1 }, declared.revision(), "id",
                               PutZone{ { zoneIdOf("b"), "b" } } };
    REQUIRE(declared.apply(change));
    const auto configuration = std::make_shared<Configuration>(declared);
    auto view = viewOf({ 1, 1 }, 1, { { 1, 1 } });
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

TEST_CASE("the end of a cancelled run hides a later run of the same feed, which is then never cancelled")
{
    EventLoop loop;
    WireCodec codec{ TokenCodec(KeyRing({ Key{} })) };
    CounterSet counters;
    std::vector<std::unique_ptr<FrameConnection>> accepted;
    std::vector<std::string> calls;
    bool expired = false;
    LoopTimer limit(loop, [&] { expired = true; });
    const auto driveUntil = [&](std::size_t count) {
        limit.armAfter(Milliseconds(2000));
        while (calls.size() < count && !expired) {
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
    const RunAtTarget run{ targetIdOf("t0"), Occupancy::Connection, requestOf(feedKind, 5, 1) };
    const CancelAtTarget cancel{ run.target, run.request.id };
    targets.run(worldPool, address, run);
    driveUntil(1);
    targets.cancel(cancel);
    targets.run(worldPool, address, run);
    driveUntil(3);
    accepted[0]->send(encodeTargetEvent(TargetResult{ {}, run.request.id, 1, true, "" }));
    LoopTimer end(loop, [&] { loop.stop(); });
    end.armAfter(Milliseconds(100));
    loop.run();
    targets.cancel(cancel);
    driveUntil(4);
}
