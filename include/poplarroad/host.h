#ifndef POPLARROAD_HOST_H
#define POPLARROAD_HOST_H

#include "poplarroad/enumnames.h"
#include "poplarroad/id.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** IPv4 address and port, in host byte order. */
struct HostAddress
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(const HostAddress &, const HostAddress &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const HostAddress &address)
    {
        return Hash::combine(std::move(state), address.ip, address.port);
    }

    /** @return the address as one number, for hashing and ordering */
    std::uint64_t key() const
    {
        return (static_cast<std::uint64_t>(ip) << 16U) | port;
    }
};

/** @return "a.b.c.d:port" */
std::string toString(const HostAddress &address);

/**
 * @param text "a.b.c.d:port"
 * @return the address, or nothing when the text has another form
 */
std::optional<HostAddress> parseHostAddress(std::string_view text);

/** State of a balancer as its zone sees it. */
enum class HostState : std::uint8_t {
    Alive,
    Suspected,
    Leaving,
    Dead,
};

template<>
struct EnumNames<HostState>
{
    static constexpr std::array table{
        EnumName<HostState>{ HostState::Alive, "alive" },
        EnumName<HostState>{ HostState::Suspected, "suspected" },
        EnumName<HostState>{ HostState::Leaving, "leaving" },
        EnumName<HostState>{ HostState::Dead, "dead" },
    };
};

/** A balancer as known to the other balancers of its zone. */
struct HostRecord
{
    HostAddress address; ///< where peers reach it, UDP and TCP
    Incarnation incarnation;
    HostState state = HostState::Alive;
    /** Orders the process lives at one address; a later life has the larger epoch. */
    std::uint64_t epoch = 0;
    /** Raised by the member itself, within one epoch, to refute what others say of it. */
    std::uint32_t version = 0;

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/** What a balancer knows of one other zone. */
struct ZoneSummary
{
    ZoneId zone;
    std::vector<HostAddress> gateways; ///< balancers that accept messages for that zone
    std::uint32_t liveHosts = 0;
    Revision revision; ///< configuration in force at the sender
    bool reachable = false; ///< a summary arrived within the reachability timeout
    std::uint32_t ageMs = 0; ///< time since that zone sent it, as far as the sender knows

    friend bool operator==(const ZoneSummary &, const ZoneSummary &) = default;
};

/** Immutable view of the balancers, made by the membership and read by the routing. */
struct FleetView
{
    HostAddress self;
    Incarnation incarnation;
    ZoneId zone;
    bool leaving = false; ///< this balancer is stopping
    bool joined = false; ///< this balancer has joined its zone; it takes no work before
    std::vector<HostRecord> hosts; ///< all members of the own zone, this balancer included
    std::vector<ZoneSummary> otherZones;

    /**
     * @param address a balancer of the own zone
     * @return its record, or nothing when it is not a member
     */
    const HostRecord *findHost(const HostAddress &address) const;
    /** @return the summary of another zone, or nothing */
    const ZoneSummary *findZone(ZoneId zone) const;
    /** @return whether the balancer takes new work: alive or suspected, neither leaving nor dead */
    static bool acceptsNewWork(const HostRecord &host);
};

} // namespace poplarroad

#endif
