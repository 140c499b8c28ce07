#ifndef POPLARROAD_LINK_PACKETCODEC_H
#define POPLARROAD_LINK_PACKETCODEC_H

#include "poplarroad/packet.h"
#include "poplarroad/target.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace poplarroad
{

/** Rewritten header of a forwarded packet; the rest of the packet follows unchanged. */
struct PacketHeader
{
    static constexpr std::size_t Capacity = 64;

    std::array<char, Capacity> bytes{};
    std::size_t size = 0;
    std::size_t replacedBytes = 0; ///< length of the prefix of the received datagram that this header replaces

    std::string_view view() const
    {
        return { bytes.data(), size };
    }
};

/** Encodes and decodes the packets of flows; the platform implements it, since it defines the packet format. */
class PacketCodec
{
public:
    virtual ~PacketCodec() = default;
    /** @return the header fields of a caller's packet, or nothing when it is invalid; lastError() has the reason */
    virtual std::optional<Packet> decode(std::string_view datagram) = 0;
    /** @return the header with which a datagram that decode() accepted is forwarded to a target */
    virtual PacketHeader headerFor(const Target &target, PacketTag tag, std::string_view datagram) const = 0;
    /**
     * @param flow the flow to reset
     * @param sequence the sequence number that the caller last acknowledged
     * @return the reset datagram to send to the caller
     */
    virtual std::string encodeReset(const FlowKey &flow, std::uint32_t sequence) const = 0;
    virtual std::optional<PacketError> lastError() const = 0;
};

} // namespace poplarroad

#endif
