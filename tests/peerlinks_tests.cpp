// Connections to other balancers that fall silent without an end, on real sockets.

#include "host/peertask.h"

#include "service/directorytiming.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <unistd.h>

using namespace poplarroad;

namespace
{

constexpr Milliseconds waitLimit{ 5000 };

HostAddress localAddress(unsigned offset)
{
    constexpr std::uint32_t loopback = 0x7f000001;
    return { loopback, static_cast<std::uint16_t>(32000 + getpid() % 2000 + 2000 * offset) };
}

FrameLimits probingLimits()
{
    FrameLimits limits;
    limits.probes = true;
    return limits;
}

/** A balancer that accepts connections; each one answers probes until it falls silent. */
struct SilentPeer
{
    explicit SilentPeer(EventLoop &loop)
        : listener(loop, localAddress(1), [this, &loop](evutil_socket_t socket, const HostAddress &) {
            frames.push_back(0);
            heldOpen.push_back(dup(socket));
            const std::size_t index = connections.size();
            connections.push_back(std::make_unique<FrameConnection>(
                loop, socket, probingLimits(), [this, index](std::string_view) { ++frames[index]; },
                [](ConnectionEnd) {}));
        })
    {
        REQUIRE(listener.listening());
    }

    ~SilentPeer()
    {
        for (const int socket : heldOpen) {
            close(socket);
        }
    }
    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    /** The first connection reads and writes nothing more; the copy of its socket keeps it open. */
    void fallSilent()
    {
        connections.front().reset();
    }

    std::vector<std::unique_ptr<FrameConnection>> connections;
    std::vector<std::size_t> frames; ///< received on each connection
    std::vector<int> heldOpen; ///< copies of the sockets
    Listener listener;
};

/** A running PeerTask, which ends with the test. */
struct SendingBalancer
{
    SendingBalancer()
        : task(settings(), senders, counters)
    {
        REQUIRE(task.bound());
        senders.toCallers = [](const auto &) {};
        senders.toDispatch = [](const auto &) {};
        senders.toConfig = [](const auto &) {};
        task.start();
    }
    ~SendingBalancer()
    {
        task.post(StopTask{});
        task.join();
    }
    SendingBalancer(const SendingBalancer &) = delete;
    SendingBalancer &operator=(const SendingBalancer &) = delete;

    static Settings settings()
    {
        Settings settings;
        settings.peers = localAddress(2);
        settings.zone = "a";
        settings.keys = { Key{} };
        return settings;
    }

    TaskSenders senders;
    CounterSet counters;
    PeerTask task;
};

/** @return a message that is too long for a datagram */
SendFleetMessage longContent(const HostAddress &host)
{
    DirectoryContent content;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        TargetChange change;
        change.target.target.id = TargetId{ id };
        content.targets.changes.push_back(change);
    }
    return { { host }, content };
}

void runUntil(EventLoop &loop, const std::function<bool()> &done)
{
    bool timedOut = false;
    LoopTimer limit(loop, [&] { timedOut = true; });
    limit.armAfter(waitLimit);
    while (!done() && !timedOut) {
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    REQUIRE(done());
}

} // namespace

TEST_CASE("a connection whose probes are answered does not count as silent, one without an answer does")
{
    EventLoop loop;
    SilentPeer peer(loop);
    FrameConnection link(
        loop, localAddress(1), probingLimits(), [](std::string_view) {}, [](ConnectionEnd) {});
    const Milliseconds timeout{ 250 };
    const TimePoint now = std::chrono::steady_clock::now();
    link.probe(now);
    CHECK(link.silentAt(timeout) == TimePoint::max());
    runUntil(loop, [&] { return link.hasAnsweredProbe(); });
    CHECK(link.silentAt(timeout) == TimePoint::max());
    peer.fallSilent();
    link.probe(now);
    link.probe(now + Milliseconds(100));
    CHECK(link.silentAt(timeout) == now + timeout);
    CHECK(peer.frames.front() == 0);
}

// Guards against changes that reach the balancers behind a silent connection only when they read the store themselves.
TEST_CASE("a balancer replaces a connection that fell silent within the time for the delivery of a change")
{
    EventLoop loop;
    SilentPeer peer(loop);
    SendingBalancer sender;
    sender.task.post(longContent(localAddress(1)));
    runUntil(loop, [&] { return !peer.frames.empty() && peer.frames.front() == 1; });
    // The answer to the probe of the first message arrives at the balancer.
    LoopTimer pause(loop, [&] { loop.stop(); });
    pause.armAfter(Milliseconds(100));
    loop.run();
    peer.fallSilent();
    sender.task.post(longContent(localAddress(1)));
    pause.armAfter(DirectoryTiming::DeliveryTime + Milliseconds(200));
    loop.run();
    CHECK(sender.counters.value(Counter::PeerLinksSilent) == 1);
    sender.task.post(longContent(localAddress(1)));
    runUntil(loop, [&] { return peer.frames.size() == 2 && peer.frames.back() == 1; });
    CHECK(peer.frames.front() == 1);
}

// Guards against connections to earlier versions, which answer no probe, that are closed again and again.
TEST_CASE("a connection to a balancer that never answered a probe is kept")
{
    EventLoop loop;
    Listener listener(loop, localAddress(1), [](evutil_socket_t, const HostAddress &) {});
    REQUIRE(listener.listening());
    SendingBalancer sender;
    sender.task.post(longContent(localAddress(1)));
    LoopTimer pause(loop, [&] { loop.stop(); });
    pause.armAfter(Milliseconds(800));
    loop.run();
    CHECK(sender.counters.value(Counter::PeerLinksSilent) == 0);
    CHECK(sender.counters.value(Counter::PeerLinksLost) == 0);
}
