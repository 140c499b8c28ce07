#ifndef POPLARROAD_TARGET_POOLENTRY_H
#define POPLARROAD_TARGET_POOLENTRY_H

#include "poplarroad/targetpool.h"
#include "targethealth.h"
#include "targetlimit.h"

#include <deque>
#include <string>

namespace poplarroad
{

/** Work that a target got lately; it decays, so that the balance is over about the last seconds. */
class RecentWork
{
public:
    double at(TimePoint now) const;
    void add(TimePoint now);
    void set(double work, TimePoint now);

private:
    double work_ = 0.0;
    TimePoint at_;
};

/** One target in its pool. */
struct PoolEntry
{
    PoolEntry(const Target &target, bool slowStart);

    /** @return whether new flows and new requests may go there */
    bool ready() const;
    /** @return concurrent requests that it may have now, less while it ramps up after a return */
    std::uint32_t limitAt(TimePoint now) const;
    bool hasRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now) const;
    /** @return work in progress and assigned, relative to what the target may have */
    double load(Occupancy occupancy, TimePoint now) const;
    /** @return recent work relative to the declared slots; ties of the load go to the smallest */
    double recentLoad(TimePoint now) const;
    void addReason(std::string reason);

    Target target;
    TargetLimit limit;
    TargetHealth health;
    RecentWork recent;
    std::uint32_t inProgress = 0;
    std::uint32_t connections = 0;
    std::int64_t queued = 0;
    std::uint64_t answered = 0;
    bool declared = true; ///< false after its removal, while requests are still in progress there
    TimePoint drainingUntil; ///< it said itself that it drains; asked again after this
    bool reportedDraining = false;
    std::deque<std::string> reasons;
};

} // namespace poplarroad

#endif
