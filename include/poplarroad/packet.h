#ifndef POPLARROAD_PACKET_H
#define POPLARROAD_PACKET_H

#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarroad
{

/** The two endpoints of a packet flow, as the caller sees them. */
struct FlowKey
{
    HostAddress caller;
    HostAddress service; ///< virtual address of a route

    friend constexpr auto operator<=>(const FlowKey &, const FlowKey &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const FlowKey &key)
    {
        return Hash::combine(std::move(state), key.caller, key.service);
    }

    /** @return a uniformly distributed hash that is the same in every process */
    std::uint64_t hash() const
    {
        return rendezvousWeight(caller.key(), service.key());
    }
};

/**
 * Identifies the target of a flow in each of its packets.
 *
 * A balancer writes the tag into packets that it forwards to a target, and both endpoints echo the last tag that they
 * received. A balancer without state of the flow thus finds its target.
 */
using PacketTag = Id<struct PacketTagTag, std::uint32_t>;

/** Tags of one target. Of them, only those that no other target has are given to flows. */
using PacketTags = std::array<PacketTag, 3>;

/** @return the tags of a target, the same on every balancer; different from each other and never empty (0) */
PacketTags packetTagsOf(TargetId target);

/** @return the tag that a target uses unless another target has it too */
inline PacketTag packetTagOf(TargetId target)
{
    return packetTagsOf(target).front();
}

/** Header of a packet from a caller. */
struct Packet
{
    FlowKey flow;
    PacketTag tag; ///< empty in the first packet of a flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< acknowledgement number; in an opening packet, how often it was sent before
    std::uint16_t length = 0; ///< payload size in bytes
    bool opens = false; ///< first packet of a flow, like TCP's SYN
    bool finishes = false; ///< like TCP's FIN
    bool resets = false; ///< like TCP's RST
};

/** Why a datagram was rejected as malformed. */
enum class PacketError : std::uint8_t {
    TooShort,
    TooLong,
    LengthMismatch, ///< the length field does not match the datagram size
    ContradictingFlags,
};

template<>
struct EnumNames<PacketError>
{
    static constexpr std::array table{
        EnumName<PacketError>{ PacketError::TooShort, "too-short" },
        EnumName<PacketError>{ PacketError::TooLong, "too-long" },
        EnumName<PacketError>{ PacketError::LengthMismatch, "length-mismatch" },
        EnumName<PacketError>{ PacketError::ContradictingFlags, "contradicting-flags" },
    };
};

} // namespace poplarroad

#endif
