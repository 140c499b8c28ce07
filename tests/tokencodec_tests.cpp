#include "poplarroad/tokencodec.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

namespace
{

Key keyOf(std::uint8_t id)
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

TEST_CASE("a token that loses a field on its way would move the flow")
{
    TokenCodec codec(KeyRing({ keyOf(1) }));
    CHECK(codec.decode(codec.encode(sampleToken())) == sampleToken());
}

TEST_CASE("an altered token is accepted")
{
    TokenCodec codec(KeyRing({ keyOf(1) }));
    const std::string sealed = codec.encode(sampleToken());
    for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
        std::string altered = sealed;
        altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
        CHECK_FALSE(codec.decode(altered));
    }
}

TEST_CASE("a truncated or extended token is read beyond its end")
{
    TokenCodec codec(KeyRing({ keyOf(1) }));
    const std::string sealed = codec.encode(sampleToken());
    for (std::size_t length = 0; length < sealed.size(); ++length) {
        CHECK_FALSE(codec.decode(std::string_view(sealed).substr(0, length)));
        CHECK(codec.lastError() == TokenError::WrongLength);
    }
    CHECK_FALSE(codec.decode(sealed + "x"));
}

TEST_CASE("a token forged with another key, or with the code of a bare message, is accepted")
{
    Key forged = keyOf(1);
    forged.bytes[31] ^= 1;
    TokenCodec codec(KeyRing({ keyOf(1) }));
    CHECK_FALSE(codec.decode(TokenCodec(KeyRing({ forged })).encode(sampleToken())));
    CHECK(codec.lastError() == TokenError::WrongMac);
    std::string replaced = codec.encode(sampleToken());
    replaced.resize(replaced.size() - std::tuple_size_v<Mac>);
    const Mac mac = computeMac(keyOf(1), replaced);
    replaced.append(mac.begin(), mac.end());
    CHECK_FALSE(codec.decode(replaced));
}

TEST_CASE("a key change breaks the flows whose tokens have the old key")
{
    TokenCodec before(KeyRing({ keyOf(1), keyOf(2) }));
    TokenCodec after(KeyRing({ keyOf(2), keyOf(1) }));
    TokenCodec done(KeyRing({ keyOf(2) }));
    CHECK(after.decode(before.encode(sampleToken())) == sampleToken());
    CHECK(before.decode(after.encode(sampleToken())) == sampleToken());
    CHECK_FALSE(done.decode(before.encode(sampleToken())));
    CHECK(done.lastError() == TokenError::UnknownKey);
    CHECK(done.decode(after.encode(sampleToken())) == sampleToken());
}
