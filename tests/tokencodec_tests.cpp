#include "poplarroad/tokencodec.h"

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

FlowToken sampleToken()
{
    return { { 0x1122334455667788 }, { 0xa1b2c3d4 },         { 5 }, { 0xfedcba9876543210 }, { 0x7f000001, 7001 },
             { 0x8877665544332211 }, Milliseconds(123456789) };
}

} // namespace

TEST_CASE("every field of a token survives encoding and decoding")
{
    TokenCodec codec(KeyRing({ makeKey(1) }));
    CHECK(codec.decode(codec.encode(sampleToken())) == sampleToken());
}

TEST_CASE("a token with any single bit flipped is rejected")
{
    TokenCodec codec(KeyRing({ makeKey(1) }));
    const std::string encoded = codec.encode(sampleToken());
    for (std::size_t bit = 0; bit < encoded.size() * 8; ++bit) {
        std::string altered = encoded;
        altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
        CHECK_FALSE(codec.decode(altered));
    }
}

TEST_CASE("a token of another length is rejected")
{
    TokenCodec codec(KeyRing({ makeKey(1) }));
    const std::string encoded = codec.encode(sampleToken());
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        CHECK_FALSE(codec.decode(std::string_view(encoded).substr(0, length)));
        CHECK(codec.lastError() == TokenError::WrongLength);
    }
    CHECK_FALSE(codec.decode(encoded + "x"));
}

TEST_CASE("a token with the MAC of another key, or with a MAC without the token label, is rejected")
{
    Key forged = makeKey(1);
    forged.bytes[31] ^= 1;
    TokenCodec codec(KeyRing({ makeKey(1) }));
    CHECK_FALSE(codec.decode(TokenCodec(KeyRing({ forged })).encode(sampleToken())));
    CHECK(codec.lastError() == TokenError::WrongMac);
    std::string replaced = codec.encode(sampleToken());
    replaced.resize(replaced.size() - std::tuple_size_v<Mac>);
    const Mac mac = computeMac(makeKey(1), replaced);
    replaced.append(mac.begin(), mac.end());
    CHECK_FALSE(codec.decode(replaced));
}

TEST_CASE("tokens of both keys verify during a key change, and tokens of the old key fail after it")
{
    TokenCodec before(KeyRing({ makeKey(1), makeKey(2) }));
    TokenCodec after(KeyRing({ makeKey(2), makeKey(1) }));
    TokenCodec newKeyOnly(KeyRing({ makeKey(2) }));
    CHECK(after.decode(before.encode(sampleToken())) == sampleToken());
    CHECK(before.decode(after.encode(sampleToken())) == sampleToken());
    CHECK_FALSE(newKeyOnly.decode(before.encode(sampleToken())));
    CHECK(newKeyOnly.lastError() == TokenError::UnknownKey);
    CHECK(newKeyOnly.decode(after.encode(sampleToken())) == sampleToken());
}
