#include "service/listcomparison.h"

#include <algorithm>

namespace poplarroad
{

bool ListComparison::onBeacon(bool equal, TimePoint now)
{
    if (equal) {
        *this = {};
        return false;
    }
    differsSince_ = differsSince_.value_or(now);
    const TimePoint due = asked_ ? nextRequestAt_ : *differsSince_ + ToleratedTime;
    if (now < due) {
        return false;
    }
    asked_ = true;
    nextRequestAt_ = now + retryDelay_;
    retryDelay_ = std::min(retryDelay_ * 2, MaxRetryDelay);
    return true;
}

void ListVerification::onRead(std::uint64_t digest, TimePoint now)
{
    const bool changed = digest != digest_;
    period_ = changed ? FirstPeriod : std::min(period_ * 2, MaxPeriod);
    digest_ = digest;
    readAt_ = now;
}

} // namespace poplarroad
