#ifndef POPLARROAD_LINK_WIRE_H
#define POPLARROAD_LINK_WIRE_H

#include "poplarroad/configsync.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/fleetmessages.h"
#include "poplarroad/forward.h"
#include "poplarroad/membership.h"
#include "poplarroad/request.h"
#include "poplarroad/tokencodec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Version of the message format; a message of another version is refused. */
inline constexpr std::uint16_t WireVersion = 1;
/** Longest datagram in bytes; it fits an Ethernet frame with room for tunnel headers. */
inline constexpr std::size_t MaxDatagram = 1400;
/**
 * Payload bytes in each part of an answer but the last. It is fixed, so that every repeat of an answer is cut alike; the
 * rest of a datagram holds the token and the envelope.
 */
inline constexpr std::size_t PartPayload = 1080;
/** Parts of one answer; a longer answer needs TCP. */
inline constexpr std::size_t MaxParts = 1000;
/** Longest frame on a TCP connection in bytes, without its length prefix. */
inline constexpr std::size_t MaxFrame = std::size_t{ 1 } << 20U;

/** Why a message was refused. */
enum class WireError : std::uint8_t {
    TooLong,
    Truncated, ///< empty, not a whole number of words, or shorter than its segment table says
    TrailingBytes,
    UnknownVersion,
    UnexpectedKind, ///< unknown, or a kind that does not belong on this link
    InvalidValue, ///< a field holds a value outside its range
    Broken, ///< a pointer is out of bounds, or a traversal or nesting limit was reached
};

template<>
struct EnumNames<WireError>
{
    static constexpr std::array table{
        EnumName<WireError>{ WireError::TooLong, "too-long" },
        EnumName<WireError>{ WireError::Truncated, "truncated" },
        EnumName<WireError>{ WireError::TrailingBytes, "trailing-bytes" },
        EnumName<WireError>{ WireError::UnknownVersion, "unknown-version" },
        EnumName<WireError>{ WireError::UnexpectedKind, "unexpected-kind" },
        EnumName<WireError>{ WireError::InvalidValue, "invalid-value" },
        EnumName<WireError>{ WireError::Broken, "broken" },
    };
};

/** A reply as a caller reads it: the token is opaque, and an answer may be one part of several. */
struct ReceivedReply
{
    CallerReply reply; ///< its token fields are empty
    std::string token; ///< sealed; empty when the reply carries none
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
};

/** What a balancer sends to a target. */
using TargetCall = std::variant<RunAtTarget, CancelAtTarget>;

/** One part of a ConfigSnapshot, which may be longer than a frame. */
struct SnapshotPart
{
    Revision revision;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string chunk;
};

/** What balancers send to each other over TCP; a ConfigSnapshot travels as its parts. */
using PeerFrame = std::variant<ForwardedMessage, ForwardedReply, ConfigRequest, ConfigChanges, SnapshotPart>;

/**
 * Cap'n Proto encoding of every message.
 *
 * Tokens travel as sealed bytes. A decoder returns nothing for a broken message, and lastError() tells why; no
 * exception leaves this class. One task owns one codec.
 */
class WireCodec
{
public:
    /** @param tokens seals and opens flow tokens */
    explicit WireCodec(TokenCodec tokens);

    /** @return a frame or datagram; the message's token is sealed */
    std::string encode(const CallerMessage &message) const;
    /** @return one frame with the whole reply, for TCP */
    std::string encode(const CallerReply &reply) const;
    /** @return the reply as datagrams of at most MaxDatagram bytes; empty when it needs more than MaxParts */
    std::vector<std::string> encodeDatagrams(const CallerReply &reply) const;
    /** @return one frame */
    std::string encode(const PeerFrame &frame) const;

    /** @return the message; a token that does not verify sets `tokenRejected` */
    std::optional<CallerMessage> decodeCallerMessage(std::string_view bytes);
    std::optional<PeerFrame> decodePeerFrame(std::string_view bytes);
    std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);
    /** @return a message on services and targets, which comes as a datagram or as a frame */
    std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes);
    /** @param target the target at the other end of the connection */
    std::optional<TargetEvent> decodeTargetEvent(std::string_view bytes, TargetId target);

    std::optional<WireError> lastError() const
    {
        return lastError_;
    }

private:
    TokenCodec tokens_;
    std::optional<WireError> lastError_;
};

/** @return the message as frames; a snapshot gives several */
std::vector<PeerFrame> framesOf(const PeerConfigMessage &message);
/** @return the datagram of a peer message */
std::string encodePeerDatagram(const PeerDatagram &datagram);
/** @return a datagram or, when it is longer than MaxDatagram, a frame */
std::string encodeFleetMessage(const FleetMessage &message);
/** @return the frame of a call to a target */
std::string encodeTargetCall(const TargetCall &call);

/** Encodes a caller's message with an opaque token, for a caller. @param token sealed; empty for none */
std::string encodeCallerMessage(const CallerMessage &message, std::string_view token);
/** Decodes a reply for a caller. @param error is set when nothing is returned */
std::optional<ReceivedReply> decodeCallerReply(std::string_view bytes, std::optional<WireError> &error);
/** Decodes a call for a target; the target id is left empty. @param error is set when nothing is returned */
std::optional<TargetCall> decodeTargetCall(std::string_view bytes, std::optional<WireError> &error);
/** Encodes what a target reports. TargetLost has no encoding and gives an empty string. */
std::string encodeTargetEvent(const TargetEvent &event);

} // namespace poplarroad

#endif
