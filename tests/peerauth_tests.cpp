#include "link/peerauth.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

Key makeKey(std::uint8_t id)
{
    Key key;
    key.id = id;
    key.bytes.fill(static_cast<std::uint8_t>(id * 7 + 1));
    return key;
}

HostAddress addressOf(std::uint16_t port)
{
    return { 0x7f000001, port };
}

/** Address of the balancer that receives the messages. */
const HostAddress receiverAddress = addressOf(2);

PeerAuth makeAuth(std::uint16_t port, std::vector<Key> keys, PeerAuthLimits limits = { 16, 16 })
{
    return { KeyRing(std::move(keys)), { addressOf(port), { port * 1000ULL }, { 5 } }, limits };
}

} // namespace

TEST_CASE("an authenticated message names its sender, so that it is not attributed to another balancer")
{
    PeerAuth sender = makeAuth(1, { makeKey(1) });
    PeerAuth receiver = makeAuth(2, { makeKey(2), makeKey(1) });
    const std::string message = sender.sign("payload", receiverAddress);
    const auto received = receiver.authenticate(message);
    REQUIRE(received);
    CHECK(received->payload == "payload");
    CHECK(received->from == PeerIdentity{ { 0x7f000001, 1 }, { 1000 }, { 5 } });
}

TEST_CASE("a message with any bit flipped, or truncated to any length, is refused")
{
    PeerAuth sender = makeAuth(1, { makeKey(1) });
    PeerAuth receiver = makeAuth(2, { makeKey(1), makeKey(3) });
    const std::string message = sender.sign("some payload", receiverAddress);
    for (std::size_t bit = 0; bit < message.size() * 8; ++bit) {
        std::string altered = message;
        altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
        REQUIRE_FALSE(receiver.authenticate(altered));
    }
    for (std::size_t size = 0; size < message.size(); ++size) {
        REQUIRE_FALSE(receiver.authenticate(message.substr(0, size)));
    }
    CHECK(receiver.authenticate(message));
}

TEST_CASE("each refusal has its own reason, so that an operator can distinguish a wrong key from an attack")
{
    PeerAuth sender = makeAuth(1, { makeKey(1) });
    PeerAuth unknownKeySender = makeAuth(1, { makeKey(9) });
    PeerAuth receiver = makeAuth(2, { makeKey(1) });
    const std::string message = sender.sign("x", receiverAddress);
    std::string otherVersion = message;
    otherVersion[0] = '\x01';
    std::string forged = unknownKeySender.sign("x", receiverAddress);
    CHECK_FALSE(receiver.authenticate(forged));
    CHECK(receiver.lastError() == PeerAuthError::UnknownKey);
    forged[1] = '\x01';
    CHECK_FALSE(receiver.authenticate(forged));
    CHECK(receiver.lastError() == PeerAuthError::WrongMac);
    CHECK_FALSE(receiver.authenticate(otherVersion));
    CHECK(receiver.lastError() == PeerAuthError::UnknownVersion);
    CHECK_FALSE(receiver.authenticate("short"));
    CHECK(receiver.lastError() == PeerAuthError::TooShort);
    CHECK(receiver.authenticate(message));
    CHECK_FALSE(receiver.authenticate(message));
    CHECK(receiver.lastError() == PeerAuthError::Replayed);
    CHECK(receiver.status().refused[static_cast<std::size_t>(PeerAuthError::Replayed)] == 1);
    CHECK(nameOf(PeerAuthError::Replayed) == "replayed");
}

TEST_CASE("a reordered message is accepted once, and a message older than the replay window is refused")
{
    PeerAuth sender = makeAuth(1, { makeKey(1) });
    PeerAuth receiver = makeAuth(2, { makeKey(1) });
    std::vector<std::string> messages;
    messages.reserve(100);
    for (int i = 0; i < 100; ++i) {
        messages.push_back(sender.sign("x", receiverAddress));
    }
    CHECK(receiver.authenticate(messages[99]));
    CHECK(receiver.authenticate(messages[36]));
    CHECK_FALSE(receiver.authenticate(messages[36]));
    CHECK_FALSE(receiver.authenticate(messages[35]));
    CHECK(receiver.authenticate(messages[98]));
    CHECK_FALSE(receiver.authenticate(messages[99]));
}

TEST_CASE("messages of a restarted sender are accepted although its sequence numbers start again")
{
    PeerAuth first = makeAuth(1, { makeKey(1) });
    PeerAuth receiver = makeAuth(2, { makeKey(1) });
    for (int i = 0; i < 100; ++i) {
        REQUIRE(receiver.authenticate(first.sign("x", receiverAddress)));
    }
    PeerAuth second = makeAuth(1, { makeKey(1) });
    second.setIncarnation({ 77 });
    CHECK(receiver.authenticate(second.sign("x", receiverAddress)));
}

TEST_CASE("a message replayed to another balancer is refused there, because the MAC covers the receiver")
{
    PeerAuth sender = makeAuth(1, { makeKey(1) });
    PeerAuth other = makeAuth(3, { makeKey(1) });
    const std::string message = sender.sign("x", receiverAddress);
    CHECK_FALSE(other.authenticate(message));
    CHECK(other.lastError() == PeerAuthError::WrongMac);
    CHECK(other.authenticate(sender.sign("x", addressOf(3))));
}

TEST_CASE("old messages of a sender that was evicted for other senders are refused as replays")
{
    PeerAuth receiver = makeAuth(2, { makeKey(1) }, { 2, 16 });
    PeerAuth idle = makeAuth(1, { makeKey(1) });
    std::vector<std::string> old;
    for (int i = 0; i < 3; ++i) {
        old.push_back(idle.sign("x", receiverAddress));
        REQUIRE(receiver.authenticate(old.back()));
    }
    for (std::uint16_t port = 10; port < 15; ++port) {
        REQUIRE(receiver.authenticate(makeAuth(port, { makeKey(1) }).sign("x", receiverAddress)));
    }
    for (const std::string &replayed : old) {
        CHECK_FALSE(receiver.authenticate(replayed));
        CHECK(receiver.lastError() == PeerAuthError::Replayed);
    }
    CHECK(receiver.authenticate(idle.sign("next", receiverAddress)));
}

TEST_CASE("a new sender is refused when no more can be tracked, and known ones are still accepted")
{
    PeerAuth receiver = makeAuth(2, { makeKey(1) }, { 1, 1 });
    PeerAuth first = makeAuth(1, { makeKey(1) });
    PeerAuth second = makeAuth(3, { makeKey(1) });
    REQUIRE(receiver.authenticate(first.sign("x", receiverAddress)));
    REQUIRE(receiver.authenticate(second.sign("x", receiverAddress)));
    CHECK_FALSE(receiver.authenticate(makeAuth(4, { makeKey(1) }).sign("x", receiverAddress)));
    CHECK(receiver.lastError() == PeerAuthError::TooManySenders);
    CHECK(receiver.authenticate(first.sign("y", receiverAddress)));
    CHECK(receiver.authenticate(second.sign("y", receiverAddress)));
    CHECK(nameOf(PeerAuthError::TooManySenders) == "too-many-senders");
}
