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

/** What a caller may do with a request that failed, and how it uses flows. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Download, ///< idempotent, a large answer
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

/** A service that a route sends new flows to. */
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/** Where the flows to one virtual address go, and what is promised to their requests. */
struct ServiceRoute
{
    HostAddress address;
    std::vector<WeightedService> services; ///< not empty
    RequestKind kind = RequestKind::Idempotent;
    Urgency urgency = Urgency::Normal;
    Milliseconds deadline{ 1000 };
    Milliseconds latencyGoal{ 1000 };

    friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/** The routes of one version of the desired state. Immutable once shared. */
struct ServiceMap
{
    std::uint64_t version = 0; ///< grows with each change of the operator
    Milliseconds idleTimeout{ 15000 }; ///< of a flow
    absl::flat_hash_map<HostAddress, ServiceRoute> routes;

    friend bool operator==(const ServiceMap &, const ServiceMap &) = default;
};

using ServiceMapPtr = std::shared_ptr<const ServiceMap>;

/** A target as it announces itself. */
struct ListedTarget
{
    Target target;
    std::uint64_t instance = 0; ///< one life of the target; another one holds no earlier flow
    Milliseconds warmup{ 0 }; ///< how much longer it is slow, from the moment of the entry

    friend bool operator==(const ListedTarget &, const ListedTarget &) = default;
};

/** What this process believes of a listed target. */
enum class ListingState : std::uint8_t {
    Present,
    Lapsed, ///< its entry went away while the store was not reliable; used on until that is settled
    Gone,
};

template<>
struct EnumNames<ListingState>
{
    static constexpr std::array table{
        EnumName<ListingState>{ ListingState::Present, "present" },
        EnumName<ListingState>{ ListingState::Lapsed, "lapsed" },
        EnumName<ListingState>{ ListingState::Gone, "gone" },
    };
};

/** A change of the target list: a target with its new fields, or one that is gone. */
struct TargetChange
{
    Revision revision; ///< of the store, with the change
    ListingState listing = ListingState::Present;
    ListedTarget target; ///< only the id is set when gone

    friend bool operator==(const TargetChange &, const TargetChange &) = default;
};

/** The parts of the directory that the store keeps. */
enum class DirectoryPart : std::uint8_t {
    Services,
    Targets,
};

template<>
struct EnumNames<DirectoryPart>
{
    static constexpr std::array table{
        EnumName<DirectoryPart>{ DirectoryPart::Services, "services" },
        EnumName<DirectoryPart>{ DirectoryPart::Targets, "targets" },
    };
};

} // namespace poplarroad

#endif
