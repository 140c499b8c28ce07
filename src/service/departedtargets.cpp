#include "service/departedtargets.h"

#include <algorithm>

namespace poplarroad
{

void DepartedTargets::onLeft(const ListedTarget &target, Revision revision, TimePoint now)
{
    forgetOld(now);
    const TimePoint until = now + MemoryTime;
    const auto [known, isNew] =
        departures_.insert_or_assign(target.target.id, Departure{ target.instance, revision, until });
    // A draining entry is written again with each heartbeat, so a target has only one deadline.
    if (isNew) {
        deadlines_.push_back({ target.target.id, until });
    }
}

void DepartedTargets::forgetOld(TimePoint now)
{
    while (!deadlines_.empty() && (deadlines_.front().until <= now || deadlines_.size() >= MaxDepartures)) {
        const Deadline oldest = deadlines_.front();
        deadlines_.pop_front();
        const auto known = departures_.find(oldest.target);
        if (known == departures_.end()) {
            continue;
        }
        if (oldest.until <= now && known->second.until > now) {
            deadlines_.push_back({ oldest.target, known->second.until });
        } else {
            departures_.erase(known);
        }
    }
}

void DepartedTargets::beginEra(Revision firstList, TimePoint now)
{
    if (firstList_.value != 0 && eraOf(firstList) <= eraOf(firstList_)) {
        return;
    }
    firstList_ = firstList;
    holdUntil_ = std::max(holdUntil_, now + HoldTime);
}

bool DepartedTargets::withholds(const TargetChange &listed, TimePoint now)
{
    const TargetId id = listed.target.target.id;
    const auto known = departures_.find(id);
    const bool left = known != departures_.end() && known->second.instance == listed.target.instance
        && now < known->second.until && eraOf(known->second.revision) < eraOf(listed.revision);
    // An entry of the first list is that of the copy, as far as its revision tells.
    const bool fromCopy = listed.revision <= firstList_;
    if (fromCopy && now < holdUntil_ && (left || isWithheld(id))) {
        withheld_.insert(id);
        return true;
    }
    withheld_.erase(id);
    if (listed.target.target.state == TargetState::Active) {
        departures_.erase(id);
    }
    return false;
}

std::vector<TargetId> DepartedTargets::releaseDue(TimePoint now)
{
    std::vector<TargetId> due;
    if (now >= holdUntil_) {
        due.assign(withheld_.begin(), withheld_.end());
        withheld_.clear();
        for (const TargetId target : due) {
            departures_.erase(target);
        }
    }
    return due;
}

} // namespace poplarroad
