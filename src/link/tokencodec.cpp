#include "poplarroad/tokencodec.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr std::uint8_t TokenVersion = 1;
constexpr std::size_t BodyLength = 48; ///< bytes before the MAC
constexpr std::size_t EncodedLength = BodyLength + std::tuple_size_v<Mac>;
/** Prefix of the MAC input, so that the MAC of another message under the same key never verifies as a token. */
constexpr std::string_view MacLabel = "poplarroad-flow-token";

template<typename Number>
void appendInteger(std::string &bytes, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        bytes += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
    }
}

template<typename Number>
void readInteger(std::string_view &bytes, Number &value)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        number |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(sizeof(Number));
    value = static_cast<Number>(number);
}

Mac computeTokenMac(const Key &key, std::string_view body)
{
    std::string labelled(MacLabel);
    labelled += body;
    return computeMac(key, labelled);
}

FlowToken tokenFrom(std::string_view fields)
{
    FlowToken token;
    readInteger(fields, token.flow.value);
    readInteger(fields, token.service.value);
    readInteger(fields, token.zone.value);
    readInteger(fields, token.target.value);
    readInteger(fields, token.dispatcher.ip);
    readInteger(fields, token.dispatcher.port);
    readInteger(fields, token.incarnation.value);
    std::uint64_t issuedAt = 0;
    readInteger(fields, issuedAt);
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
    bytes.reserve(EncodedLength);
    appendInteger(bytes, TokenVersion);
    appendInteger(bytes, keys_.signingKey().id);
    appendInteger(bytes, token.flow.value);
    appendInteger(bytes, token.service.value);
    appendInteger(bytes, token.zone.value);
    appendInteger(bytes, token.target.value);
    appendInteger(bytes, token.dispatcher.ip);
    appendInteger(bytes, token.dispatcher.port);
    appendInteger(bytes, token.incarnation.value);
    appendInteger(bytes, static_cast<std::uint64_t>(token.issuedAt.count()));
    const Mac mac = computeTokenMac(keys_.signingKey(), bytes);
    bytes.append(mac.begin(), mac.end());
    return bytes;
}

std::optional<FlowToken> TokenCodec::decode(std::string_view encoded)
{
    const auto refuse = [this](TokenError error) {
        lastError_ = error;
        return std::nullopt;
    };
    if (encoded.size() != EncodedLength) {
        return refuse(TokenError::WrongLength);
    }
    if (static_cast<std::uint8_t>(encoded[0]) != TokenVersion) {
        return refuse(TokenError::UnknownVersion);
    }
    const Key *key = keys_.find(static_cast<std::uint8_t>(encoded[1]));
    if (!key) {
        return refuse(TokenError::UnknownKey);
    }
    Mac mac{};
    std::copy(encoded.begin() + BodyLength, encoded.end(), mac.begin());
    if (!equalMac(mac, computeTokenMac(*key, encoded.substr(0, BodyLength)))) {
        return refuse(TokenError::WrongMac);
    }
    return tokenFrom(encoded.substr(2));
}

} // namespace poplarroad
