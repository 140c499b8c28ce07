#ifndef POPLARROAD_ID_H
#define POPLARROAD_ID_H

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

namespace poplarroad
{

/** Typed identifier; the tag prevents mixing identifiers of different object types at compile time. */
template<typename Tag, typename Rep>
struct Id
{
    Rep value = 0;

    friend constexpr auto operator<=>(const Id &, const Id &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const Id &id)
    {
        return Hash::combine(std::move(state), id.value);
    }
};

using ZoneId = Id<struct ZoneTag, std::uint32_t>;
using ServiceId = Id<struct ServiceTag, std::uint32_t>;
using KindId = Id<struct KindTag, std::uint32_t>;
using TargetId = Id<struct TargetTag, std::uint64_t>;
using FlowId = Id<struct FlowTag, std::uint64_t>;
using CallerId = Id<struct CallerTag, std::uint64_t>;
using Incarnation = Id<struct IncarnationTag, std::uint64_t>; ///< of a balancer process; new after a restart or pause
/** Number of a configuration change; 0 is the empty configuration. See storerevision.h for those of the directory. */
using Revision = Id<struct RevisionTag, std::uint64_t>;

/**
 * Identifiers are hashes of the configured names, so that every process derives the same ones without a lookup.
 * The configuration rejects a name whose identifier is already in use.
 */
ZoneId zoneIdOf(std::string_view name);
ServiceId serviceIdOf(std::string_view name);
KindId kindIdOf(std::string_view name);
TargetId targetIdOf(std::string_view name);

/**
 * Weight of a candidate for a key in rendezvous hashing; the candidate with the largest weight is chosen.
 *
 * @param key key of the object to place
 * @param candidate key of the node to place it on
 * @return a uniformly distributed 64-bit weight
 */
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

} // namespace poplarroad

#endif
