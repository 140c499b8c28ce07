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

/** Changes to the target list, for users of the local replica and for peers. */
struct TargetUpdate
{
    Revision revision; ///< of the list after the changes
    bool complete = false; ///< the changes make up the complete list
    std::vector<TargetChange> changes;

    friend bool operator==(const TargetUpdate &, const TargetUpdate &) = default;
};

/** Announces that a balancer follows the store (watches it for changes), so that others need not. */
struct DirectoryBeacon
{
    HostAddress follower;
    std::uint64_t rank = 0; ///< of two followers, the one with the larger rank keeps following
    std::uint64_t serviceVersion = 0;
    Revision targets; ///< of the last change to the target list
    std::uint32_t contactAgeMs = 0; ///< time since the store's last answer about the part that it answered longest ago
    bool relayed = false; ///< passed on by a balancer that received it
    std::uint64_t targetsDigest = 0; ///< of the whole target list; equal lists have equal digests
    std::uint32_t targetsContactAgeMs = 0; ///< time since the store's last answer about the targets
    ZoneEvacuations evacuations;

    friend bool operator==(const DirectoryBeacon &, const DirectoryBeacon &) = default;
};

/** Asks for directory content newer than these versions. */
struct DirectoryRequest
{
    std::uint64_t serviceVersion = 0;
    Revision targets;
    bool changesOnly = false; ///< a complete list is not wanted, since the sender has a recent one
    /** The sender's list differs from the receiver's though it lacks no change; the complete list is wanted. */
    bool differs = false;

    friend bool operator==(const DirectoryRequest &, const DirectoryRequest &) = default;
};

/** Services and changes to the target list; sent on request or unsolicited. */
struct DirectoryContent
{
    ServiceMapPtr services; ///< nullptr when the receiver has them
    Revision targetsAfter; ///< the changes apply to a list at this revision or a later one
    TargetUpdate targets;
    ZoneEvacuations evacuations;
};

/** Lists balancers of the receiver's zone, for a receiver that knows none: its seeds may all be in other zones. */
struct ZoneIntroduction
{
    std::vector<HostAddress> hosts;

    friend bool operator==(const ZoneIntroduction &, const ZoneIntroduction &) = default;
};

/** Load of a target as one balancer observes it. */
struct TargetLoad
{
    TargetId target;
    std::uint16_t flows = 0;
    std::uint16_t busy = 0; ///< flows that are waiting for an answer
    std::uint16_t stuck = 0; ///< flows with more than one retransmission since the last progress
    std::uint32_t sinceProgressMs = 0; ///< time since the last progress of any flow of the target
    std::uint16_t answers = 0; ///< answers since the last report
    std::uint16_t meanAnswerMs = 0; ///< mean time from a request to its answer, of `answers`
    std::uint16_t shortAnswers = 0; ///< those of `answers` that were much shorter than usual for the service

    friend bool operator==(const TargetLoad &, const TargetLoad &) = default;
};

/** Load of the targets that the flows of one balancer use, as that balancer observes it. */
struct LoadReport
{
    std::vector<TargetLoad> loads;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/** Messages between balancers about services and targets. */
using FleetMessage = std::variant<DirectoryBeacon, DirectoryRequest, DirectoryContent, ZoneIntroduction, LoadReport>;

/** Send to other balancers, as a datagram if it fits, otherwise over their connections. */
struct SendFleetMessage
{
    std::vector<HostAddress> hosts;
    FleetMessage message;
};

} // namespace poplarroad

#endif
