#ifndef POPLARROAD_PACKET_H
#define POPLARROAD_PACKET_H

#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarroad
{

/** The two ends of a flow of packets, as the caller sees them. */
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

    /** @return a uniformly distributed number that is the same in every process */
    std::uint64_t hash() const
    {
        return rendezvousWeight(caller.key(), service.key());
    }
};

/**
 * Names the target of a flow in each packet of its caller.
 *
 * A balancer writes it into the packets for a target, and both ends repeat the last one that they received, so a balancer
 * without any state of the flow finds the target again.
 */
using PacketTag = Id<struct PacketTagTag, std::uint32_t>;

/** @return the tag of a target; never the empty tag */
constexpr PacketTag packetTagOf(TargetId target)
{
    const auto folded = static_cast<std::uint32_t>(target.value ^ (target.value >> 32U));
    return PacketTag{ folded == 0 ? 1U : folded };
}

/** Head of a packet from a caller. */
struct Packet
{
    FlowKey flow;
    PacketTag tag; ///< empty in the first packet of a flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< in an opening packet: how many copies of it were sent before
    std::uint16_t length = 0; ///< bytes of data
    bool opens = false;
    bool finishes = false;
    bool resets = false;
};

/** Why a datagram is no packet. */
enum class PacketError : std::uint8_t {
    TooShort,
    TooLong,
    LengthMismatch, ///< the length field and the datagram disagree
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
