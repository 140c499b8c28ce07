#ifndef POPLARROAD_DIRECTORY_H
#define POPLARROAD_DIRECTORY_H

#include "poplarroad/clock.h"
#include "poplarroad/contract.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"
#include "poplarroad/id.h"
#include "poplarroad/target.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplarroad
{

/** Class of a request: whether it may be retried after a failure, and how large its response is. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Download, ///< idempotent, with a large response
};

template<>
struct EnumNames<RequestKind>
{
    static constexpr std::array table{
        EnumName<RequestKind>{ RequestKind::Idempotent, "idempotent" },
        EnumName<RequestKind>{ RequestKind::NonIdempotent, "non-idempotent" },
        EnumName<RequestKind>{ RequestKind::Download, "download" },
    };
};

/** A destination service of a route, with its share of the route's new flows. */
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 1; ///< relative to the other services of the route

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/** Destinations of the flows to one virtual address, and the service level of their requests. */
struct ServiceRoute
{
    HostAddress address; ///< virtual address
    std::vector<WeightedService> services; ///< not empty
    RequestKind kind = RequestKind::Idempotent;
    Urgency urgency = Urgency::Normal;
    Milliseconds deadline{ 1000 };
    Milliseconds latencyGoal{ 1000 };

    friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/** How many new flows a target of one service accepts while it warms up. */
struct WarmupLimit
{
    double perSecond = 0.0; ///< not negative; without the overage and slack of the settings

    friend bool operator==(const WarmupLimit &, const WarmupLimit &) = default;
};

/** All routes of one configuration version. Immutable once shared. */
struct ServiceMap
{
    std::uint64_t version = 0; ///< increases with each configuration change by the operator
    Milliseconds idleTimeout{ 15000 }; ///< inactivity after which a flow is dropped
    absl::flat_hash_map<HostAddress, ServiceRoute> routes;
    std::vector<HostAddress> unreadableRoutes; ///< addresses whose routes exist but cannot be read
    absl::flat_hash_map<ServiceId, WarmupLimit> warmups; ///< of the services that declare one

    friend bool operator==(const ServiceMap &, const ServiceMap &) = default;
};

using ServiceMapPtr = std::shared_ptr<const ServiceMap>;

/**
 * Keeps the last readable definition of each route that cannot be read in a newer version.
 *
 * @param known the current version, or nullptr
 * @param newer the version that replaces it
 * @return `newer`, with the routes of `known` in place of its unreadable ones
 */
ServiceMapPtr withKnownRoutes(const ServiceMapPtr &known, const ServiceMapPtr &newer);

/** A target as it registers itself in the store. */
struct ListedTarget
{
    Target target;
    std::uint64_t instance = 0; ///< changes when the target restarts; it then has none of its earlier flows
    Milliseconds warmup{ 0 }; ///< remaining warm-up period when the entry was written; until then the target is slower

    friend bool operator==(const ListedTarget &, const ListedTarget &) = default;
};

/** State of a target's store entry as this balancer sees it. */
enum class ListingState : std::uint8_t {
    Present,
    Expired, ///< entry disappeared, perhaps by a store failure; the target stays in use for a grace period
    Gone, ///< removed
};

template<>
struct EnumNames<ListingState>
{
    static constexpr std::array table{
        EnumName<ListingState>{ ListingState::Present, "present" },
        EnumName<ListingState>{ ListingState::Expired, "lapsed" },
        EnumName<ListingState>{ ListingState::Gone, "gone" },
    };
};

/** One change of the target list: an added or updated target, or a removed one. */
struct TargetChange
{
    Revision revision; ///< store revision that contains the change, see storerevision.h
    ListingState listing = ListingState::Present;
    ListedTarget target; ///< for a removed target, only the id is meaningful

    friend bool operator==(const TargetChange &, const TargetChange &) = default;
};

/**
 * A part of a list that one call to the store returned. The store may answer the calls for one list from copies of
 * different age.
 */
struct ListSegment
{
    std::string
        lastName; ///< greatest name that the segment covers, in byte order; the last segment covers all after it
    Revision revision; ///< the segment includes all changes up to it

    friend bool operator==(const ListSegment &, const ListSegment &) = default;
};

/** The zones whose targets accept no new flows, as of one revision of the store. */
struct ZoneEvacuations
{
    Revision revision; ///< of the list that the zones were read from; 0 before the first one
    std::vector<ZoneId> zones; ///< ordered

    friend bool operator==(const ZoneEvacuations &, const ZoneEvacuations &) = default;
};

/** What an entry of the store says about the evacuation of a zone. */
enum class EvacuationEntry : std::uint8_t {
    Evacuated,
    Removed,
    Unreadable, ///< exists, but cannot be used; the zone stays as it is known
};

/** One listed or changed entry of an evacuation. */
struct EvacuationChange
{
    ZoneId zone;
    std::string name; ///< of the zone
    EvacuationEntry entry = EvacuationEntry::Evacuated;

    friend bool operator==(const EvacuationChange &, const EvacuationChange &) = default;
};

/** Parts of the directory in the store; each is read and watched separately. */
enum class DirectoryPart : std::uint8_t {
    Services,
    Targets,
    Evacuations, ///< only where the settings enable them
};

template<>
struct EnumNames<DirectoryPart>
{
    static constexpr std::array table{
        EnumName<DirectoryPart>{ DirectoryPart::Services, "services" },
        EnumName<DirectoryPart>{ DirectoryPart::Targets, "targets" },
        EnumName<DirectoryPart>{ DirectoryPart::Evacuations, "evacuations" },
    };
};

} // namespace poplarroad

#endif
