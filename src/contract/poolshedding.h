#ifndef POPLARROAD_CONTRACT_POOLSHEDDING_H
#define POPLARROAD_CONTRACT_POOLSHEDDING_H

#include "poplarroad/clock.h"
#include "poplarroad/dispatcher.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace poplarroad
{

/** Tracks which urgencies the dispatchers of the pools currently refuse, according to their reports. */
class PoolShedding
{
public:
    void onPoolReport(const PoolReport &report, TimePoint now)
    {
        if (report.shedBelow == Urgency::Low || report.shedFor.count() <= 0) {
            pools_.erase(report.pool);
            return;
        }
        // Bounded, since the ingress must not keep refusing for long after the dispatcher has died.
        pools_[report.pool] = { report.shedBelow, now + std::min(report.shedFor, MaxShedDuration) };
    }

    /** @return for how long requests of the urgency are still refused; 0 when they are not */
    Milliseconds remainingShedTime(const PoolId &pool, Urgency urgency, TimePoint now) const
    {
        const auto found = pools_.find(pool);
        if (found == pools_.end() || urgency >= found->second.below || now >= found->second.until) {
            return Milliseconds(0);
        }
        return std::chrono::ceil<Milliseconds>(found->second.until - now);
    }

private:
    static constexpr Milliseconds MaxShedDuration{ 2000 };

    struct ShedState
    {
        Urgency below = Urgency::Low;
        TimePoint until;
    };

    absl::flat_hash_map<PoolId, ShedState> pools_;
};

} // namespace poplarroad

#endif
