#include "link/wire.h"

#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

namespace poplarroad
{

namespace
{

std::string_view payloadOf(const CallerReply &reply)
{
    const auto *answer = std::get_if<AnswerMessage>(&reply);
    return answer == nullptr ? std::string_view() : std::string_view(answer->payload);
}

std::string encodePart(const CallerReply &reply, std::string_view token, const wire::ReplyPart &part)
{
    return wire::writeEnvelope([&](auto envelope) { wire::writeReply(envelope, reply, token, part); });
}

} // namespace

WireCodec::WireCodec(TokenCodec tokens)
    : tokens_(std::move(tokens))
{
}

std::string WireCodec::encode(const CallerMessage &message) const
{
    return encodeCallerMessage(message, wire::encodedTokenOf(message, tokens_));
}

std::string WireCodec::encode(const CallerReply &reply) const
{
    return encodePart(reply, wire::encodedTokenOf(reply, tokens_), { 0, 1, payloadOf(reply) });
}

std::vector<std::string> WireCodec::encodeDatagrams(const CallerReply &reply) const
{
    const std::string token = wire::encodedTokenOf(reply, tokens_);
    const std::string_view payload = payloadOf(reply);
    const std::size_t parts = std::max<std::size_t>(1, (payload.size() + AnswerPartBytes - 1) / AnswerPartBytes);
    std::vector<std::string> datagrams;
    if (parts > MaxAnswerParts) {
        return datagrams;
    }
    datagrams.reserve(parts);
    for (std::size_t i = 0; i < parts; ++i) {
        const wire::ReplyPart part{ static_cast<std::uint16_t>(i), static_cast<std::uint16_t>(parts),
                                    payload.substr(i * AnswerPartBytes, AnswerPartBytes) };
        datagrams.push_back(encodePart(reply, token, part));
    }
    return datagrams;
}

std::string WireCodec::encode(const PeerFrame &frame) const
{
    return wire::writeEnvelope([&](auto envelope) { wire::writePeerFrame(envelope, frame, tokens_); });
}

std::optional<CallerMessage> WireCodec::decodeCallerMessage(std::string_view bytes)
{
    return wire::readEnvelope<CallerMessage>(
        bytes, lastError_, [&](auto envelope) { return wire::readCallerMessage(envelope, &tokens_); });
}

std::optional<PeerFrame> WireCodec::decodePeerFrame(std::string_view bytes)
{
    return wire::readEnvelope<PeerFrame>(bytes, lastError_,
                                         [&](auto envelope) { return wire::readPeerFrame(envelope, tokens_); });
}

std::string encodeCallerMessage(const CallerMessage &message, std::string_view token)
{
    return wire::writeEnvelope([&](auto envelope) { wire::writeCallerMessage(envelope, message, token); });
}

std::optional<ReceivedReply> decodeCallerReply(std::string_view bytes, std::optional<WireError> &error)
{
    return wire::readEnvelope<ReceivedReply>(bytes, error, [](auto envelope) { return wire::readReply(envelope); });
}

} // namespace poplarroad
