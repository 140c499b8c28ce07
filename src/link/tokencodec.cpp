#include "poplarroad/tokencodec.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::uint8_t TokenVersion = 1;
constexpr std::size_t BodyLength = 48;
constexpr std::size_t SealedLength = BodyLength + std::tuple_size_v<Mac>;
/** Keeps the code of a token apart from codes of other messages under the same key. */
constexpr std::string_view MacLabel = "poplarroad-flow-token";

template<typename Number>
void append(std::string &bytes, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
    }
}

template<typename Number>
void take(std::string_view &bytes, Number &value)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        number |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(sizeof(Number));
    value = static_cast<Number>(number);
}

Mac macOf(const Key &key, std::string_view body)
{
    std::string labelled(MacLabel);
    labelled += body;
    return computeMac(key, labelled);
}

FlowToken tokenFrom(std::string_view fields)
{
    FlowToken token;
    take(fields, token.flow.value);
    take(fields, token.service.value);
    take(fields, token.zone.value);
    take(fields, token.target.value);
    take(fields, token.dispatcher.ip);
    take(fields, token.dispatcher.port);
    take(fields, token.incarnation.value);
    std::uint64_t issuedAt = 0;
    take(fields, issuedAt);
    token.issuedAt = Milliseconds(static_cast<Milliseconds::rep>(issuedAt));
    return token;
}

} // namespace

TokenCodec::TokenCodec(KeyRing keys)
    : keys_(std::move(keys))
{
}

std::string TokenCodec::encode(const FlowToken &token) const
{
    std::string bytes;
    bytes.reserve(SealedLength);
    append(bytes, TokenVersion);
    append(bytes, keys_.signingKey().id);
    append(bytes, token.flow.value);
    append(bytes, token.service.value);
    append(bytes, token.zone.value);
    append(bytes, token.target.value);
    append(bytes, token.dispatcher.ip);
    append(bytes, token.dispatcher.port);
    append(bytes, token.incarnation.value);
    append(bytes, static_cast<std::uint64_t>(token.issuedAt.count()));
    const Mac mac = macOf(keys_.signingKey(), bytes);
    bytes.append(mac.begin(), mac.end());
    return bytes;
}

std::optional<FlowToken> TokenCodec::decode(std::string_view sealed)
{
    const auto refuse = [this](TokenError error) {
        lastError_ = error;
        return std::nullopt;
    };
    if (sealed.size() != SealedLength) {
        return refuse(TokenError::WrongLength);
    }
    if (static_cast<std::uint8_t>(sealed[0]) != TokenVersion) {
        return refuse(TokenError::UnknownVersion);
    }
    const Key *key = keys_.find(static_cast<std::uint8_t>(sealed[1]));
    if (!key) {
        return refuse(TokenError::UnknownKey);
    }
    Mac mac{};
    std::copy(sealed.begin() + BodyLength, sealed.end(), mac.begin());
    if (!equalMac(mac, macOf(*key, sealed.substr(0, BodyLength)))) {
        return refuse(TokenError::WrongMac);
    }
    return tokenFrom(sealed.substr(2));
}

} // namespace poplarroad
