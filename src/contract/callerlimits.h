#ifndef POPLARROAD_CONTRACT_CALLERLIMITS_H
#define POPLARROAD_CONTRACT_CALLERLIMITS_H

#include "poplarroad/id.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <utility>

namespace poplarroad
{

/** Counts the requests that each caller has queued or in progress, by kind of request. */
class CallerLimits
{
public:
    /** Counts one more request, unless the caller has reached the limit. @return whether it was counted */
    bool tryAcquire(CallerId caller, KindId kind, std::uint32_t limit)
    {
        const auto [found, inserted] = counts_.try_emplace({ caller, kind }, 0U);
        if (found->second >= limit) {
            if (inserted) {
                counts_.erase(found);
            }
            return false;
        }
        ++found->second;
        return true;
    }
    /** Uncounts one request that tryAcquire() counted. */
    void release(CallerId caller, KindId kind)
    {
        const auto found = counts_.find({ caller, kind });
        if (found != counts_.end() && --found->second == 0) {
            counts_.erase(found);
        }
    }
    bool empty() const
    {
        return counts_.empty();
    }

private:
    absl::flat_hash_map<std::pair<CallerId, KindId>, std::uint32_t> counts_;
};

} // namespace poplarroad

#endif
