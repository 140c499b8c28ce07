#ifndef POPLARROAD_LINK_WIREENVELOPE_H
#define POPLARROAD_LINK_WIREENVELOPE_H

#include "link/wire.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <wire.capnp.h>

#include <cstring>

namespace poplarroad::wire
{

/** Thrown by the functions that parse a message; readEnvelope() catches it and returns its error. */
struct DecodeError
{
    WireError error;
};

inline std::string toText(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

inline capnp::Data::Reader toData(std::string_view text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

/** @return the enumerator with this number; throws DecodeError when there is none */
template<typename Enum>
Enum checkedEnum(std::uint8_t number)
{
    for (const auto &row : EnumNames<Enum>::table) {
        if (static_cast<std::uint8_t>(row.first) == number) {
            return row.first;
        }
    }
    throw DecodeError{ WireError::InvalidValue };
}

/** @return the bytes of an envelope that `fill` writes */
template<typename Fill>
std::string writeEnvelope(Fill fill)
{
    constexpr std::size_t scratchWords = 256; // holds a full datagram without an allocation
    capnp::word scratch[scratchWords];
    std::memset(static_cast<void *>(scratch), 0, sizeof(scratch));
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, scratchWords));
    auto envelope = builder.initRoot<schema::Envelope>();
    envelope.setVersion(WireVersion);
    fill(envelope);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

/** Decodes an envelope with `parse`; sets `error` and returns nothing when the message is invalid. */
template<typename Result, typename Parse>
std::optional<Result> readEnvelope(std::string_view bytes, std::optional<WireError> &error, Parse parse)
{
    error.reset();
    if (bytes.size() > MaxFrame) {
        error = WireError::TooLong;
        return std::nullopt;
    }
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
        error = WireError::Truncated;
        return std::nullopt;
    }
    const std::size_t count = bytes.size() / sizeof(capnp::word);
    // The traversal limit bounds the cost of a short message with pointers to shared data or lists of empty elements.
    // The nesting limit admits a forwarded message, which nests deepest.
    const capnp::ReaderOptions limits{ 4 * count + 64, 8 };
    auto words = kj::heapArray<capnp::word>(count);
    std::memcpy(static_cast<void *>(words.begin()), bytes.data(), bytes.size());
    bool headerRead = false;
    try {
        capnp::FlatArrayMessageReader reader(words, limits);
        headerRead = true;
        if (reader.getEnd() != words.end()) {
            throw DecodeError{ WireError::TrailingBytes };
        }
        const auto envelope = reader.getRoot<schema::Envelope>();
        if (envelope.getVersion() != WireVersion) {
            throw DecodeError{ WireError::UnknownVersion };
        }
        return parse(envelope);
    } catch (const DecodeError &decodeError) {
        error = decodeError.error;
    } catch (const kj::Exception &) {
        error = headerRead ? WireError::Broken : WireError::Truncated;
    }
    return std::nullopt;
}

void writeCallerMessage(schema::Envelope::Builder envelope, const CallerMessage &message, std::string_view token);
/** @param tokens verifies and decodes the token; nullptr ignores the token */
CallerMessage readCallerMessage(schema::Envelope::Reader envelope, TokenCodec *tokens);
/** @return the encoded token of the message; empty when it has none */
std::string encodedTokenOf(const CallerMessage &message, const TokenCodec &tokens);

/** One part of a reply; replies other than answers have one part. */
struct ReplyPart
{
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
    std::string_view payload;
};
void writeReply(schema::Envelope::Builder envelope, const CallerReply &reply, std::string_view token,
                const ReplyPart &part);
ReceivedReply readReply(schema::Envelope::Reader envelope);
std::string encodedTokenOf(const CallerReply &reply, const TokenCodec &tokens);

void writeRequest(schema::Request::Builder to, const RequestMessage &request, std::string_view token);
RequestMessage readRequest(schema::Request::Reader from, TokenCodec *tokens);

void writeAddress(schema::Address::Builder to, const HostAddress &address);
HostAddress readAddress(schema::Address::Reader from);

void writePeerFrame(schema::Envelope::Builder envelope, const PeerFrame &frame, const TokenCodec &tokens);
void writeConfig(schema::Envelope::Builder envelope, const ConfigRequest &request);
void writeConfig(schema::Envelope::Builder envelope, const ConfigChanges &changes);
void writeConfig(schema::Envelope::Builder envelope, const SnapshotPart &part);
PeerFrame readPeerFrame(schema::Envelope::Reader envelope, TokenCodec &tokens);
PeerFrame readConfig(schema::Envelope::Reader envelope);

} // namespace poplarroad::wire

#endif
