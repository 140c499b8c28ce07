#include "corpus.h"
#include "host/settings.h"
#include "link/configjson.h"
#include "link/peerauth.h"
#include "link/wire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fstream>

using namespace poplarroad;
using poplarroad::test::loadCorpus;

namespace
{

KeyRing testKeys()
{
    Key key;
    key.id = 7;
    key.bytes.fill(0x5a);
    return KeyRing({ key });
}

/** @return the text with random bits flipped, the end truncated and random bytes appended */
std::string corrupted(std::string text)
{
    for (int bitFlips = *rc::gen::inRange(0, 4); bitFlips > 0 && !text.empty(); --bitFlips) {
        const std::size_t bit = *rc::gen::inRange<std::size_t>(0, text.size() * 8);
        text[bit / 8] = static_cast<char>(text[bit / 8] ^ (1 << (bit % 8)));
    }
    text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    return text + *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

std::string settingsText()
{
    return "[host]\nzone = a\ncallers = 127.0.0.1:7000\npeers = 127.0.0.1:7001\noperator = 127.0.0.1:7002\n"
           "metrics = 127.0.0.1:7003\n[platform]\naddress = 127.0.0.1:9\n[keys]\ncurrent = 1:"
        + std::string(64, 'a') + "\n";
}

} // namespace

TEST_CASE("every message of the corpus is refused by all decoders without a crash")
{
    const auto inputs = loadCorpus("wire");
    REQUIRE(inputs.size() >= 10);
    for (const auto &[name, bytes] : inputs) {
        CAPTURE(name);
        WireCodec codec{ TokenCodec(testKeys()) };
        CHECK_FALSE(codec.decodeCallerMessage(bytes));
        CHECK(codec.lastError());
        CHECK_FALSE(codec.decodePeerDatagram(bytes));
        CHECK(codec.lastError());
        CHECK_FALSE(codec.decodePeerFrame(bytes));
        CHECK(codec.lastError());
        CHECK_FALSE(codec.decodeTargetEvent(bytes, TargetId{ 1 }));
        CHECK(codec.lastError());
    }
}

TEST_CASE("no JSON text of the corpus decodes as a change or a configuration")
{
    const auto inputs = loadCorpus("json");
    REQUIRE(inputs.size() >= 10);
    for (const auto &[name, text] : inputs) {
        CAPTURE(name);
        CHECK_FALSE(decodeChange(text));
        CHECK_FALSE(decodeConfiguration({ text }));
    }
}

TEST_CASE("decoding corrupted JSON of changes and configurations never throws")
{
    const ConfigChange change{ Revision{ 1 }, {}, "c1", SetTargetState{ TargetId{ 4 }, TargetState::Draining } };
    const std::string text = encodeChange(change);
    REQUIRE(decodeChange(text) == change);
    CHECK(rc::check("a corrupted change decodes to nothing or to a change that can be encoded", [&] {
        const auto decoded = decodeChange(corrupted(text));
        if (decoded) {
            RC_ASSERT(!encodeChange(*decoded).empty());
        }
        static_cast<void>(decodeConfiguration({ corrupted("[{\"revision\":3},{\"putZone\":{\"name\":\"a\"}}]") }));
    }));
}

TEST_CASE("a corrupted token or message between balancers is refused with a reason")
{
    TokenCodec tokens(testKeys());
    const std::string token = tokens.encode(FlowToken{});
    const PeerIdentity self{ { 1, 2 }, { 3 }, { 4 } };
    PeerAuth peer(testKeys(), self);
    const std::string message = peer.sign("payload", self.address);
    CHECK(rc::check("only the original bytes verify", [&] {
        const std::string corruptedToken = corrupted(token);
        const bool decoded = tokens.decode(corruptedToken).has_value();
        RC_ASSERT(decoded == (corruptedToken == token));
        RC_ASSERT(decoded != tokens.lastError().has_value());
        const std::string corruptedMessage = corrupted(message);
        if (corruptedMessage != message) {
            RC_ASSERT(!peer.authenticate(corruptedMessage));
            RC_ASSERT(peer.lastError().has_value());
        }
    }));
}

TEST_CASE("a corrupted settings file is refused with a reason or gives valid settings")
{
    const std::string path = "hostileinput_tests.ini";
    CHECK(rc::check("load never throws", [&] {
        std::ofstream(path, std::ios::binary) << corrupted(settingsText());
        SettingsLoader loader;
        const bool loaded = loader.load(path).has_value();
        RC_ASSERT(loaded != loader.lastError().has_value());
    }));
    std::filesystem::remove(path);
}
