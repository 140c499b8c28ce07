#include "host/packethost.h"
#include "link/socketaddress.h"
#include "platform/flowpacketcodec.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace poplarroad;

namespace
{

/** @return a loopback address that differs between processes, so that tests can run in parallel */
std::uint32_t ownIp()
{
    constexpr std::uint32_t loopback = 127U << 24U;
    return loopback | (77U << 16U) | (static_cast<std::uint32_t>(getpid()) & 0xffffU);
}

const HostAddress callers{ ownIp(), 17001 };
const HostAddress peers{ ownIp(), 17002 };
const HostAddress status{ ownIp(), 17003 };
const HostAddress target{ ownIp(), 17004 };
const HostAddress route{ 0xc6120001, 443 };
constexpr std::uint64_t targetIdValue = 0x7f3a91c2;

/** A store that answers reads, and watches that do not wait, immediately; it never reports changes. */
class FakeSource final : public DirectorySource
{
public:
    explicit FakeSource(EventLoop &loop)
        : timer_(loop, [this] { answer(); })
    {
    }
    void read(DirectoryPart part, ReadFreshness /*freshness*/, Callback callback) override
    {
        pending_.push_back([part, callback = std::move(callback)] {
            callback(part == DirectoryPart::Services ? services() : targets());
        });
        timer_.armAfter(Microseconds(0));
    }
    void watch(DirectoryPart /*part*/, Revision after, Milliseconds wait, Callback callback) override
    {
        if (wait == Milliseconds(0)) {
            pending_.push_back([after, callback = std::move(callback)] {
                DirectoryResult answer;
                answer.revision = after;
                callback(answer);
            });
            timer_.armAfter(Microseconds(0));
        }
    }

private:
    void answer()
    {
        for (const auto &call : std::exchange(pending_, {})) {
            call();
        }
    }
    static DirectoryResult services()
    {
        auto map = std::make_shared<ServiceMap>();
        map->version = 1;
        map->routes[route] = { route,
                               { { serviceIdOf("stock"), 1 } },
                               RequestKind::Idempotent,
                               Urgency::Normal,
                               Milliseconds(1200),
                               Milliseconds(200) };
        DirectoryResult answer;
        answer.revision = Revision{ 5 };
        answer.complete = true;
        answer.services = map;
        return answer;
    }
    static DirectoryResult targets()
    {
        TargetChange change;
        change.revision = Revision{ 4 };
        change.target.target.id = TargetId{ targetIdValue };
        change.target.target.number = targetIdValue;
        change.target.target.service = serviceIdOf("stock");
        change.target.target.zone = zoneIdOf("a");
        change.target.target.address = target;
        change.target.target.slots = 3;
        DirectoryResult answer;
        answer.revision = Revision{ 5 };
        answer.complete = true;
        answer.targets.push_back(change);
        return answer;
    }

    LoopTimer timer_;
    std::vector<std::function<void()>> pending_;
};

/** A socket whose receive calls time out. */
class Socket
{
public:
    Socket(int type, const HostAddress &address)
        : descriptor_(socket(AF_INET, type, 0))
    {
        const timeval timeout{ 0, 100'000 };
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        const sockaddr_in local = toSocketAddress(address);
        if (bind(descriptor_, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0) {
            throw std::runtime_error("bind");
        }
    }
    ~Socket()
    {
        close(descriptor_);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    void sendTo(const HostAddress &to, const std::string &bytes)
    {
        const sockaddr_in remote = toSocketAddress(to);
        sendto(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote));
    }
    std::string receive()
    {
        std::string bytes(2000, '\0');
        const ssize_t size = recv(descriptor_, bytes.data(), bytes.size(), 0);
        bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return bytes;
    }
    bool connectTo(const HostAddress &to)
    {
        const sockaddr_in remote = toSocketAddress(to);
        return connect(descriptor_, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) == 0;
    }
    void sendAll(const std::string &bytes)
    {
        send(descriptor_, bytes.data(), bytes.size(), 0);
    }

private:
    int descriptor_;
};

/** @return the status line of the response to an HTTP request */
std::string statusLine(const std::string &path)
{
    Socket http(SOCK_STREAM, { ownIp(), 0 });
    if (!http.connectTo(status)) {
        return "no connection";
    }
    http.sendAll("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string answer = http.receive();
    return answer.substr(0, answer.find('\r'));
}

std::string openingPacket()
{
    std::string datagram = platform::FlowPacketCodec().encodeReset({ route, { ownIp(), 40001 } }, 0x11223344);
    datagram[12] = 1; // replaces the flags of a reset by those of an opening packet
    return datagram;
}

Settings settings()
{
    Settings result;
    result.frontend = Frontend::Packets;
    result.zone = "a";
    result.callers = callers;
    result.peers = peers;
    result.metrics = status;
    result.readinessPath = "/ready";
    result.drainTime = Milliseconds(2000);
    result.keys.push_back({});
    return result;
}

} // namespace

TEST_CASE(
    "a caller's packets are forwarded to a target, also while the balancer drains and reports that it is not ready")
{
    Socket caller(SOCK_DGRAM, { ownIp(), 40001 });
    Socket server(SOCK_DGRAM, target);
    PacketHost host(settings(), std::make_unique<platform::FlowPacketCodec>(),
                    [](EventLoop &loop) { return std::make_unique<FakeSource>(loop); });
    REQUIRE(host.start());
    std::string received;
    for (int attempt = 0; attempt < 50 && received.empty(); ++attempt) {
        caller.sendTo(callers, openingPacket());
        received = server.receive();
    }
    REQUIRE(received.size() == 8 + 36);
    CHECK(received.substr(0, 8) == std::string("\0\0\0\0\x7f\x3a\x91\xc2", 8));
    std::uint32_t tag = 0;
    for (const char byte : received.substr(8, 4)) {
        tag = (tag << 8U) | static_cast<std::uint8_t>(byte);
    }
    CHECK(PacketTag{ tag } == packetTagOf(TargetId{ targetIdValue }));
    CHECK(received.substr(12) == openingPacket().substr(4));
    // Without other balancers to confirm its list, it is ready after it follows the store itself, in two seconds at most.
    std::string ready;
    const TimePoint readyDeadline = std::chrono::steady_clock::now() + Milliseconds(2000);
    while (ready != "HTTP/1.1 200 OK" && std::chrono::steady_clock::now() < readyDeadline) {
        ready = statusLine("/ready");
    }
    CHECK(ready == "HTTP/1.1 200 OK");
    CHECK(statusLine("/metrics") == "HTTP/1.1 200 OK");

    caller.sendTo(callers, "no packet at all");
    while (!server.receive().empty()) { }
    std::thread leaving([&] { host.leave(); });
    // The fabric checks twice a second; the thread may begin later than the first polls.
    const TimePoint deadline = std::chrono::steady_clock::now() + Milliseconds(500);
    std::string line;
    while (line != "HTTP/1.1 503 Service Unavailable" && std::chrono::steady_clock::now() < deadline) {
        line = statusLine("/ready");
    }
    CHECK(line == "HTTP/1.1 503 Service Unavailable");
    std::string drained;
    for (int attempt = 0; attempt < 10 && drained.empty(); ++attempt) {
        caller.sendTo(callers, openingPacket());
        drained = server.receive();
    }
    CHECK(drained.size() == 8 + 36);
    leaving.join();
}
