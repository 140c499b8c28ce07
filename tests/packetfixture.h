#ifndef POPLARROAD_TESTS_PACKETFIXTURE_H
#define POPLARROAD_TESTS_PACKETFIXTURE_H

#include "service/flowrouter.h"

#include <catch2/catch.hpp>

namespace poplarroad::test
{

constexpr TimePoint start{ std::chrono::seconds(1000) };
inline const ZoneId ownZone = zoneIdOf("own");
inline const ZoneId otherZone = zoneIdOf("other");
inline const ServiceId stock = serviceIdOf("stock");
inline const HostAddress route{ 0xc6120001, 443 };
inline const HostAddress nonIdempotentRoute{ 0xc6120001, 444 };

inline TimePoint at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

inline TargetChange listed(std::uint64_t id, ZoneId zone = ownZone, std::uint16_t slots = 2)
{
    TargetChange change;
    change.revision = Revision{ id };
    change.target.target.id = TargetId{ id };
    change.target.target.service = stock;
    change.target.target.zone = zone;
    change.target.target.address = { 0x0a000000U + static_cast<std::uint32_t>(id), 8080 };
    change.target.target.slots = slots;
    return change;
}

inline TargetChange gone(std::uint64_t id)
{
    TargetChange change = listed(id);
    change.listing = ListingState::Gone;
    return change;
}

inline std::shared_ptr<ServiceMap> services(std::uint64_t version = 1)
{
    auto map = std::make_shared<ServiceMap>();
    map->version = version;
    map->routes[route] = { route,           { { stock, 1 } },   RequestKind::Idempotent,
                           Urgency::Normal, Milliseconds(1200), Milliseconds(200) };
    map->routes[nonIdempotentRoute] = { nonIdempotentRoute, { { stock, 1 } },   RequestKind::NonIdempotent,
                                        Urgency::High,      Milliseconds(1500), Milliseconds(250) };
    return map;
}

inline FlowKey flowOf(std::uint16_t port, HostAddress service = route)
{
    return { { 0x64400007, port }, service };
}

/** The caller's end of one flow. */
struct Caller
{
    FlowRouter &router;
    Packet packet;

    Caller(FlowRouter &balancer, std::uint16_t port, HostAddress service = route)
        : router(balancer)
    {
        packet.flow = flowOf(port, service);
        packet.sequence = 100;
    }
    /** @param copy number of copies of the opening packet that were sent before */
    PacketDecision open(TimePoint now, std::uint32_t copy = 0)
    {
        packet.opens = true;
        packet.acknowledged = copy;
        PacketDecision decision = router.onPacket(packet, now);
        packet.opens = false;
        if (const auto *forward = std::get_if<ForwardPacket>(&decision)) {
            packet.tag = forward->tag;
        }
        return decision;
    }
    /** Completes the handshake and sends a request. */
    PacketDecision request(TimePoint now)
    {
        packet.acknowledged = packet.acknowledged == 0 ? 5000 : packet.acknowledged;
        packet.sequence += packet.length;
        packet.length = 300;
        return router.onPacket(packet, now);
    }
    /** Retransmits the last packet. */
    PacketDecision retransmit(TimePoint now)
    {
        return router.onPacket(packet, now);
    }
    /** Acknowledges received data without sending any. */
    PacketDecision acknowledge(TimePoint now, std::uint32_t bytes = 2000)
    {
        packet.acknowledged += bytes;
        Packet pure = packet;
        pure.sequence += pure.length;
        pure.length = 0;
        return router.onPacket(pure, now);
    }
};

inline TargetId targetOf(const PacketDecision &decision)
{
    const auto *forward = std::get_if<ForwardPacket>(&decision);
    return forward ? forward->target->id : TargetId{};
}

inline ResetReason reasonOf(const PacketDecision &decision)
{
    REQUIRE(std::holds_alternative<ResetFlow>(decision));
    return std::get<ResetFlow>(decision).reason;
}

inline FlowRouter routerWith(const std::vector<TargetChange> &targets)
{
    FlowRouter router(ownZone, 1);
    router.setServices(services());
    router.setTargets(targets, true, start);
    return router;
}

} // namespace poplarroad::test

#endif
