#ifndef POPLARROAD_CONTRACT_REFUSEDCALLERS_H
#define POPLARROAD_CONTRACT_REFUSEDCALLERS_H

#include "poplarroad/clock.h"
#include "poplarroad/host.h"

#include <cstdint>
#include <vector>

namespace poplarroad
{

/**
 * Recent refusals by caller address and route. A refused caller comes back at once from a new port.
 *
 * The table has a fixed size. Of two callers in the same place, the later one replaces the earlier one, whose next
 * attempt then counts as its first.
 */
class RefusedCallers
{
public:
    /** Time from a refusal to the next attempt within which it counts as a retry; two round trips between zones. */
    static constexpr Milliseconds RetryWindow{ 100 };

    /** Callers retry twice. After as many refusals the next flow from the address is a new request. */
    static constexpr std::uint32_t MaxAttempts = 3;

    /** What is known of the caller of a new flow. */
    struct Attempt
    {
        std::uint32_t number = 1; ///< 1 for a first attempt
        Milliseconds elapsed{ 0 }; ///< since the first refused attempt
    };

    /** @return which attempt of the caller began at `begin` */
    Attempt attemptOf(std::uint32_t callerIp, const HostAddress &route, TimePoint begin) const;
    /** Records that an attempt was refused. @param attempt from attemptOf() */
    void onRefused(std::uint32_t callerIp, const HostAddress &route, const Attempt &attempt, TimePoint now);
    /** Removes the caller, whose attempt was admitted. */
    void onAdmitted(std::uint32_t callerIp, const HostAddress &route);

private:
    struct Entry
    {
        std::uint64_t key = 0; ///< of caller and route
        TimePoint first;
        TimePoint last;
        std::uint32_t refusals = 0;
    };
    /** Twice the refusals that a balancer of a large zone makes in RetryWindow under a flood of 1,000 flows a second. */
    static constexpr std::size_t Size = 256;

    static std::uint64_t keyOf(std::uint32_t callerIp, const HostAddress &route);

    std::vector<Entry> entries_; ///< empty until the first refusal, as most services never refuse
};

} // namespace poplarroad

#endif
