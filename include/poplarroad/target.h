#ifndef POPLARROAD_TARGET_H
#define POPLARROAD_TARGET_H

#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <string>

namespace poplarroad
{

/** Administrative state of a target. */
enum class TargetState : std::uint8_t {
    Active,
    Draining, ///< finishes the work in progress and gets no new work
};

template<>
struct EnumNames<TargetState>
{
    static constexpr std::array table{
        EnumName<TargetState>{ TargetState::Active, "active" },
        EnumName<TargetState>{ TargetState::Draining, "draining" },
    };
};

/** A backend of one service, as declared by an operator. */
struct Target
{
    TargetId id;
    std::string name;
    ServiceId service;
    ZoneId zone;
    HostAddress address;
    std::uint16_t slots = 1; ///< maximum number of concurrent requests
    std::uint32_t connections = 2000; ///< maximum number of long-lived connections
    TargetState state = TargetState::Active;
    std::uint64_t number = 0; ///< identifies the target in packets to it; 0 if they need none. Targets can share it

    friend bool operator==(const Target &, const Target &) = default;
};

} // namespace poplarroad

#endif
