#ifndef POPLARROAD_CONFIGSYNC_H
#define POPLARROAD_CONFIGSYNC_H

#include "poplarroad/clock.h"
#include "poplarroad/configuration.h"
#include "poplarroad/host.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Asks a peer for the configuration changes after a revision. */
struct ConfigRequest
{
    Revision after;

    friend bool operator==(const ConfigRequest &, const ConfigRequest &) = default;
};

/** Consecutive changes, oldest first. */
struct ConfigChanges
{
    std::vector<ConfigChange> changes;

    friend bool operator==(const ConfigChanges &, const ConfigChanges &) = default;
};

/** A complete configuration, for a peer that is too far behind to get single changes. */
struct ConfigSnapshot
{
    ConfigurationPtr configuration;
};

/** Configuration messages between balancers. */
using PeerConfigMessage = std::variant<ConfigRequest, ConfigChanges, ConfigSnapshot>;

/** A change requested by an operator. A retry with all fields unchanged returns the first result. */
struct ChangeRequest
{
    Revision basedOn; ///< revision that the operator had read
    std::string changeId; ///< not empty; unique to this request
    ConfigEdit edit;
};

/** Result of an operator's change. */
enum class ChangeResult : std::uint8_t {
    Accepted, ///< certainly stored; every reachable balancer applies it within 3 s
    Refused, ///< the edit is invalid
    Conflict, ///< the object has changed since the revision that the request is based on
    Unknown, ///< the change may have been stored; retry with the same change id
    Unreachable, ///< the store could not be reached; certainly not stored
};

template<>
struct EnumNames<ChangeResult>
{
    static constexpr std::array table{
        EnumName<ChangeResult>{ ChangeResult::Accepted, "accepted" },
        EnumName<ChangeResult>{ ChangeResult::Refused, "refused" },
        EnumName<ChangeResult>{ ChangeResult::Conflict, "conflict" },
        EnumName<ChangeResult>{ ChangeResult::Unknown, "unknown" },
        EnumName<ChangeResult>{ ChangeResult::Unreachable, "unreachable" },
    };
};

/** Answer to a ChangeRequest. */
struct ChangeOutcome
{
    ChangeResult result = ChangeResult::Unknown;
    Revision revision; ///< accepted: of the change; conflict: of the last change to the object
    std::string detail; ///< why it was not accepted, such as the invalid field with its value
};

} // namespace poplarroad

#endif
