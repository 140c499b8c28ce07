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

/** First bytes of a forwarded packet; the rest of the packet follows unchanged. */
struct PacketHead
{
    static constexpr std::size_t Capacity = 64;

    std::array<char, Capacity> bytes{};
    std::size_t size = 0;
    std::size_t replaces = 0; ///< bytes of the received datagram that it stands for

    std::string_view view() const
    {
        return { bytes.data(), size };
    }
};

/** Encoding of the packets of flows, an interface because it is the platform's. */
class PacketCodec
{
public:
    virtual ~PacketCodec() = default;
    /** @return the head of a caller's packet, or nothing; lastError() tells why */
    virtual std::optional<Packet> decode(std::string_view datagram) = 0;
    /** @return the head with which a datagram that decode() accepted goes to a target */
    virtual PacketHead headFor(const Target &target, PacketTag tag, std::string_view datagram) const = 0;
    /**
     * @param flow the flow that ends at its caller
     * @param sequence what the caller last acknowledged
     * @return a datagram for the caller
     */
    virtual std::string encodeReset(const FlowKey &flow, std::uint32_t sequence) const = 0;
    virtual std::optional<PacketError> lastError() const = 0;
};

} // namespace poplarroad

#endif
