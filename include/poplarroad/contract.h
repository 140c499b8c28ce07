#ifndef POPLARROAD_CONTRACT_H
#define POPLARROAD_CONTRACT_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/id.h"

#include <string>

namespace poplarroad
{

/** Priority class of a request kind; under overload, more urgent requests are admitted first. */
enum class Urgency : std::uint8_t {
    Low,
    Normal,
    High,
    Critical,
};

template<>
struct EnumNames<Urgency>
{
    static constexpr std::array table{
        EnumName<Urgency>{ Urgency::Low, "low" },
        EnumName<Urgency>{ Urgency::Normal, "normal" },
        EnumName<Urgency>{ Urgency::High, "high" },
        EnumName<Urgency>{ Urgency::Critical, "critical" },
    };
};

/** The target resource that a request holds while it runs. */
enum class Occupancy : std::uint8_t {
    Slot, ///< one of the target's concurrency slots, until the response is complete
    Connection, ///< one of the target's long-lived connections, for a streaming feed
};

template<>
struct EnumNames<Occupancy>
{
    static constexpr std::array table{
        EnumName<Occupancy>{ Occupancy::Slot, "slot" },
        EnumName<Occupancy>{ Occupancy::Connection, "connection" },
    };
};

/** Scheduling and reliability settings that an operator declares for one request kind of a service. */
struct Contract
{
    KindId kind;
    std::string name;
    Urgency urgency = Urgency::Normal;
    std::uint32_t weight = 1; ///< value of one answered request, relative to other kinds
    bool idempotent = true;
    Milliseconds deadline{ 1000 }; ///< default for requests without a deadline, upper bound for the others
    double minimumShare = 0.0; ///< fraction of the pool's slots reserved for this kind under overload, 0 to 1
    std::uint32_t callerLimit = 16; ///< requests that one caller may have queued or in progress in a pool
    Occupancy occupancy = Occupancy::Slot;

    friend bool operator==(const Contract &, const Contract &) = default;
};

} // namespace poplarroad

#endif
