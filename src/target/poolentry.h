#ifndef POPLARROAD_TARGET_POOLENTRY_H
#define POPLARROAD_TARGET_POOLENTRY_H

#include "poplarroad/targetpool.h"
#include "targethealth.h"
#include "targetlimit.h"

#include <deque>
#include <string>

namespace poplarroad
{

/** Number of requests that a target got recently, with exponential decay. */
class RecentRequests
{
public:
    /** @return decayed number of requests */
    double at(TimePoint now) const;
    void add(TimePoint now);
    void set(double count, TimePoint now);

private:
    double count_ = 0.0;
    TimePoint at_;
};

/** State of one target in its pool. */
struct PoolEntry
{
    PoolEntry(const Target &target, bool slowStart);

    /** @return whether the target accepts new flows and requests: declared active, not draining, not ejected */
    bool ready() const;
    /** @return maximum number of concurrent requests now; reduced while the target ramps up after an ejection */
    std::uint32_t limitAt(TimePoint now) const;
    /** @return whether a request fits and leaves `spare` slots free; a limit of `spare` or less is used fully */
    bool hasRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now) const;
    /** @return requests in progress and queued for the target, relative to its limit */
    double load(Occupancy occupancy, TimePoint now) const;
    /** @return recent requests relative to the declared slots; breaks ties between targets of equal load */
    double recentLoad(TimePoint now) const;
    /** Records a reason for the target's state for the operator's `explain`; the oldest is dropped when full. */
    void addReason(std::string reason);

    Target target;
    TargetLimit limit;
    TargetHealth health;
    RecentRequests recent;
    std::uint32_t inProgress = 0;
    std::uint32_t connections = 0;
    std::int64_t queued = 0; ///< requests in the pool's queue that are assigned to the target
    std::uint64_t answered = 0;
    bool declared = true; ///< false after the removal of the target; the entry is kept until its last request ends
    TimePoint drainingUntil; ///< when the target gets requests again after it rejected one as draining
    bool reportedDraining = false;
    std::deque<std::string> reasons;
};

} // namespace poplarroad

#endif
