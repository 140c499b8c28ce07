#ifndef POPLARROAD_STOREREVISION_H
#define POPLARROAD_STOREREVISION_H

#include "poplarroad/id.h"

#include <algorithm>

namespace poplarroad
{

/**
 * Era of a store: increases each time the store returns from an older copy of its contents.
 *
 * Revisions that were given after the copy was made are lost and given again, so they say nothing across eras. A revision
 * of the directory therefore has the era in its upper 16 bits and the store's own number in the lower 48: any revision of
 * a later era is greater than all of an earlier one.
 */
using StoreEra = std::uint16_t;

constexpr unsigned StoreEraShift = 48;
/** Largest number that the store can give to a revision. */
constexpr std::uint64_t MaxRevisionNumber = (std::uint64_t{ 1 } << StoreEraShift) - 1;

/** @return the era of a revision of the directory */
constexpr StoreEra eraOf(Revision revision)
{
    return static_cast<StoreEra>(revision.value >> StoreEraShift);
}

/** @return the number that the store gave to the revision within its era */
constexpr std::uint64_t numberOf(Revision revision)
{
    return revision.value & MaxRevisionNumber;
}

/** @param number larger numbers than MaxRevisionNumber are limited to it */
constexpr Revision revisionIn(StoreEra era, std::uint64_t number)
{
    return Revision{ (std::uint64_t{ era } << StoreEraShift) | std::min(number, MaxRevisionNumber) };
}

} // namespace poplarroad

#endif
