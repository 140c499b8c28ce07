#ifndef POPLARROAD_TOKENCODEC_H
#define POPLARROAD_TOKENCODEC_H

#include "poplarroad/enumnames.h"
#include "poplarroad/flow.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** A 32-byte key and the number that identifies it in messages. */
struct Key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 32> bytes{};

    friend bool operator==(const Key &, const Key &) = default;
};

/** A message authentication code. */
using Mac = std::array<std::uint8_t, 16>;

/** Keys that are accepted for verification; the first one signs. */
class KeyRing
{
public:
    /**
     * @param keys at least one key, with distinct ids; the first one signs
     */
    explicit KeyRing(std::vector<Key> keys);
    const Key &signingKey() const
    {
        return keys_.front();
    }
    const Key *find(std::uint8_t id) const;

private:
    std::vector<Key> keys_;
};

/** @return the keyed HighwayHash-128 of the data */
Mac computeMac(const Key &key, std::string_view data);
/** @return whether two codes are equal; compares in constant time */
bool equalMac(const Mac &a, const Mac &b);

/** Why a token was refused. */
enum class TokenError : std::uint8_t {
    WrongLength,
    UnknownVersion,
    UnknownKey,
    WrongMac,
};

template<>
struct EnumNames<TokenError>
{
    static constexpr std::array table{
        EnumName<TokenError>{ TokenError::WrongLength, "wrong-length" },
        EnumName<TokenError>{ TokenError::UnknownVersion, "unknown-version" },
        EnumName<TokenError>{ TokenError::UnknownKey, "unknown-key" },
        EnumName<TokenError>{ TokenError::WrongMac, "wrong-mac" },
    };
};

/** Encodes flow tokens as signed opaque bytes, which callers echo, and verifies and decodes them. */
class TokenCodec
{
public:
    explicit TokenCodec(KeyRing keys);
    /** @return the token as bytes of fixed length, with a MAC */
    std::string encode(const FlowToken &token) const;
    /** @return the token, or nothing when it is refused; lastError() has the reason */
    std::optional<FlowToken> decode(std::string_view encoded);
    std::optional<TokenError> lastError() const
    {
        return lastError_;
    }

private:
    KeyRing keys_;
    std::optional<TokenError> lastError_;
};

} // namespace poplarroad

#endif
