#ifndef POPLARROAD_FLEETMESSAGES_H
#define POPLARROAD_FLEETMESSAGES_H

#include "poplarroad/directory.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Changes of the target list, for a reader of a replica or for a peer. */
struct TargetUpdate
{
    Revision revision; ///< of the list after the changes
    bool complete = false; ///< the changes are the whole list
    std::vector<TargetChange> changes;

    friend bool operator==(const TargetUpdate &, const TargetUpdate &) = default;
};

/** Tells that the sender follows the store, so that others need not. */
struct DirectoryBeacon
{
    HostAddress follower;
    std::uint64_t rank = 0; ///< of two followers the one with the larger rank goes on
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< of the last change of the list
    std::uint32_t contactAgeMs = 0; ///< time since the store last answered the follower
    bool relayed = false; ///< passed on inside a zone by a balancer that got it from another zone

    friend bool operator==(const DirectoryBeacon &, const DirectoryBeacon &) = default;
};

/** Asks for what is newer. */
struct DirectoryRequest
{
    std::uint64_t serviceVersion = 0;
    Revision targets;

    friend bool operator==(const DirectoryRequest &, const DirectoryRequest &) = default;
};

/** Services and changes of the target list, asked for or not. */
struct DirectoryContent
{
    ServiceMapPtr services; ///< nullptr when the receiver has them
    Revision targetsAfter; ///< the changes apply to a list of this revision or later
    TargetUpdate targets;
};

/** Names balancers of the receiver's zone, for one that knows none: the seeds may all be of other zones. */
struct ZoneIntroduction
{
    std::vector<HostAddress> hosts;

    friend bool operator==(const ZoneIntroduction &, const ZoneIntroduction &) = default;
};

/** What one balancer sees of a target. */
struct TargetLoad
{
    TargetId target;
    std::uint16_t flows = 0;
    std::uint16_t busy = 0; ///< flows that wait for an answer
    std::uint16_t stuck = 0; ///< flows that sent again more than once since the last progress
    std::uint32_t sinceProgressMs = 0;

    friend bool operator==(const TargetLoad &, const TargetLoad &) = default;
};

/** What one balancer sees of the targets that its flows use. */
struct LoadReport
{
    std::vector<TargetLoad> loads;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/** What balancers tell each other of services and targets. */
using FleetMessage = std::variant<DirectoryBeacon, DirectoryRequest, DirectoryContent, ZoneIntroduction, LoadReport>;

} // namespace poplarroad

#endif
