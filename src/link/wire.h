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
/** Maximum length of a datagram in bytes; it fits an Ethernet frame with room for tunnel headers. */
inline constexpr std::size_t MaxDatagram = 1400;
/**
 * Payload bytes in each part of an answer except the last. The fixed size makes a retransmitted answer split into the
 * same parts; the rest of a datagram holds the token and the envelope.
 */
inline constexpr std::size_t AnswerPartBytes = 1080;
/** Maximum number of parts of an answer; a longer answer needs TCP. */
inline constexpr std::size_t MaxAnswerParts = 1000;
/** Maximum length of a frame on a TCP connection in bytes, without its length prefix. */
inline constexpr std::size_t MaxFrame = std::size_t{ 1 } << 20U;

/** Why a message was refused. */
enum class WireError : std::uint8_t {
    TooLong,
    Truncated, ///< empty, not a whole number of words, or shorter than its segment table says
    TrailingBytes,
    UnknownVersion,
    UnexpectedKind, ///< unknown, or not expected from this sender
    InvalidValue, ///< a field holds a value outside its range
    Broken, ///< a pointer is out of bounds, or the traversal or nesting limit was reached
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

/** A reply as a caller receives it: the token is opaque, and an answer may be one part of several. */
struct ReceivedReply
{
    CallerReply reply; ///< without its token
    std::string token; ///< encoded; empty when the reply has none
    std::uint16_t part = 0;
    std::uint16_t parts = 1;
};

/** A message from a balancer to a target. */
using TargetCall = std::variant<RunAtTarget, CancelAtTarget>;

/** One part of a ConfigSnapshot, which may not fit into one frame. */
struct SnapshotPart
{
    Revision revision;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string chunk;
};

/** A message between balancers over TCP; a ConfigSnapshot is sent as SnapshotPart messages. */
using PeerFrame = std::variant<ForwardedMessage, ForwardedReply, ConfigRequest, ConfigChanges, SnapshotPart>;

/**
 * Cap'n Proto encoding of every message.
 *
 * Flow tokens are sent as the signed bytes of TokenCodec. A decoder returns nothing for an invalid message, and
 * lastError() has the reason; it never throws. Not thread-safe: each task owns its codec.
 */
class WireCodec
{
public:
    /** @param tokens encodes and verifies flow tokens */
    explicit WireCodec(TokenCodec tokens);

    /** @return the message as a frame or datagram, with its token encoded */
    std::string encode(const CallerMessage &message) const;
    /** @return the reply as one frame, for TCP */
    std::string encode(const CallerReply &reply) const;
    /** @return the reply as datagrams of at most MaxDatagram bytes; empty when it needs more than MaxAnswerParts */
    std::vector<std::string> encodeDatagrams(const CallerReply &reply) const;
    /** @return one frame */
    std::string encode(const PeerFrame &frame) const;

    /** @return the message; `tokenRejected` is set when its token does not verify */
    std::optional<CallerMessage> decodeCallerMessage(std::string_view bytes);
    std::optional<PeerFrame> decodePeerFrame(std::string_view bytes);
    std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes);
    /** Decodes a message about services and targets, which is sent as a datagram or as a frame. */
    std::optional<FleetMessage> decodeFleetMessage(std::string_view bytes);
    /** @param target the target that sent the message */
    std::optional<TargetEvent> decodeTargetEvent(std::string_view bytes, TargetId target);

    std::optional<WireError> lastError() const
    {
        return lastError_;
    }

private:
    TokenCodec tokens_;
    std::optional<WireError> lastError_;
};

/** @return the frames of the message; a snapshot may need several */
std::vector<PeerFrame> framesOf(const PeerConfigMessage &message);
/** @return the encoded datagram */
std::string encodePeerDatagram(const PeerDatagram &datagram);
/** @return the encoded message, which is sent as a frame when it is longer than MaxDatagram */
std::string encodeFleetMessage(const FleetMessage &message);
/** @return the call as a frame */
std::string encodeTargetCall(const TargetCall &call);

/** Encodes a message at a caller, for which the token is opaque. @param token encoded; empty for none */
std::string encodeCallerMessage(const CallerMessage &message, std::string_view token);
/** Decodes a reply at a caller. @param error set when nothing is returned */
std::optional<ReceivedReply> decodeCallerReply(std::string_view bytes, std::optional<WireError> &error);
/** Decodes a call at a target; the target id stays empty. @param error set when nothing is returned */
std::optional<TargetCall> decodeTargetCall(std::string_view bytes, std::optional<WireError> &error);
/** Encodes a message from a target. TargetLost is local to the balancer and gives an empty string. */
std::string encodeTargetEvent(const TargetEvent &event);

} // namespace poplarroad

#endif
