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

    /** @return address and port packed into one number, for hashing and ordering */
    std::uint64_t key() const
    {
        return (static_cast<std::uint64_t>(ip) << 16U) | port;
    }
};

/** @return "a.b.c.d:port" */
std::string toString(const HostAddress &address);

/**
 * @param text "a.b.c.d:port"
 * @return the address, or std::nullopt if the text has another format
 */
std::optional<HostAddress> parseHostAddress(std::string_view text);

/** Membership state of a balancer in its zone. */
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
    HostAddress address; ///< for peer traffic, UDP and TCP
    Incarnation incarnation;
    HostState state = HostState::Alive;
    /** Orders successive processes at one address; a later process has a larger epoch. */
    std::uint64_t epoch = 0;
    /** Increased by the member itself, within one epoch, to refute a suspicion or another outdated state. */
    std::uint32_t version = 0;
    /** Processor time of the host, in thousandths of a core; hosts with more of it do more of the common work. */
    std::uint16_t rank = 0;

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/** State of another zone as known to this balancer. */
struct ZoneSummary
{
    ZoneId zone;
    std::vector<HostAddress> gateways; ///< balancers that accept messages from other zones
    std::uint32_t liveHosts = 0;
    Revision revision; ///< configuration in force at the sender
    bool reachable = false; ///< whether a summary arrived within MembershipTiming::zoneReachabilityTimeout
    std::uint32_t ageMs = 0; ///< age of the summary as known to the sender, in milliseconds

    friend bool operator==(const ZoneSummary &, const ZoneSummary &) = default;
};

/** Immutable snapshot of the balancers, created by Membership and read by the routing tasks. */
struct FleetView
{
    HostAddress self;
    Incarnation incarnation;
    ZoneId zone;
    bool leaving = false; ///< whether this balancer is shutting down
    bool joined = false; ///< whether this balancer has joined its zone; it accepts no work before
    std::vector<HostRecord> hosts; ///< all members of the local zone, including this balancer
    std::vector<ZoneSummary> otherZones;

    /**
     * @param address a balancer of the local zone
     * @return its record, or nullptr if it is not a member
     */
    const HostRecord *findHost(const HostAddress &address) const;
    /** @return the summary of another zone, or nullptr if it is unknown */
    const ZoneSummary *findZone(ZoneId zone) const;
    /** @return whether the balancer accepts new work: true if alive or suspected, false if leaving or dead */
    static bool acceptsNewWork(const HostRecord &host);
};

} // namespace poplarroad

#endif
