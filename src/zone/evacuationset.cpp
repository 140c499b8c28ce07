#include "zone/evacuationset.h"

#include "poplarroad/storerevision.h"

#include <algorithm>
#include <iterator>

namespace poplarroad
{

namespace
{

bool contains(const std::vector<ZoneId> &ordered, ZoneId zone)
{
    return std::binary_search(ordered.begin(), ordered.end(), zone);
}

void sortUnique(std::vector<ZoneId> &zones)
{
    std::sort(zones.begin(), zones.end());
    zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
}

} // namespace

bool EvacuationSet::applyList(Revision revision, const std::vector<EvacuationChange> &entries, bool truncated,
                              TimePoint now)
{
    truncated_ = truncated;
    std::vector<ZoneId> zones = truncated ? listed_ : std::vector<ZoneId>();
    for (const EvacuationChange &entry : entries) {
        const bool staysEvacuated = entry.entry == EvacuationEntry::Unreadable && contains(listed_, entry.zone);
        if (entry.entry == EvacuationEntry::Evacuated || staysEvacuated) {
            zones.push_back(entry.zone);
        }
    }
    store_ = zones;
    storeRevision_ = revision;
    return replace(truncated_ ? current_.revision : revision, std::move(zones), now);
}

bool EvacuationSet::applyChanges(Revision revision, const std::vector<EvacuationChange> &changes, TimePoint now)
{
    // A peer's set may contain zones that the peer holds, so the changes apply to the store's own list.
    std::vector<ZoneId> zones = store_;
    for (const EvacuationChange &change : changes) {
        if (change.entry == EvacuationEntry::Removed) {
            std::erase(zones, change.zone);
        } else if (change.entry == EvacuationEntry::Evacuated) {
            zones.push_back(change.zone);
        }
    }
    sortUnique(zones);
    store_ = zones;
    storeRevision_ = revision;
    return replace(truncated_ ? current_.revision : revision, std::move(zones), now);
}

bool EvacuationSet::applyPeer(const ZoneEvacuations &set, TimePoint now)
{
    if (set.revision == current_.revision && !truncated_) {
        // Both sets are of the same list; the sender of the larger one still held a zone that the list lacks.
        if (!std::exchange(metPeerOfRevision_, true) && eraOf(set.revision) > 0) {
            // This balancer read the list itself at its start and does not know which zones peers hold.
            listed_ = set.zones;
            std::sort(listed_.begin(), listed_.end());
            return update();
        }
        std::erase_if(listed_, [&](ZoneId zone) {
            return std::find(set.zones.begin(), set.zones.end(), zone) == set.zones.end();
        });
        return update();
    }
    if (set.revision <= current_.revision) {
        return false;
    }
    metPeerOfRevision_ = true;
    return replace(set.revision, set.zones, now);
}

bool EvacuationSet::replace(Revision revision, std::vector<ZoneId> zones, TimePoint now)
{
    if (revision < current_.revision) {
        return false;
    }
    if (isKnown() && eraOf(revision) > eraOf(current_.revision)) {
        held_ = current_.zones;
        heldUntil_ = now + HoldTime;
    }
    sortUnique(zones);
    listed_ = std::move(zones);
    current_.revision = revision;
    return update();
}

bool EvacuationSet::onTimer(TimePoint now, TimePoint knownUntil)
{
    if (std::min(now, knownUntil) < nextTimer()) {
        return false;
    }
    held_.clear();
    return update();
}

bool EvacuationSet::update()
{
    std::vector<ZoneId> zones;
    std::set_union(listed_.begin(), listed_.end(), held_.begin(), held_.end(), std::back_inserter(zones));
    const std::vector<ZoneId> before = std::exchange(current_.zones, std::move(zones));
    for (const ZoneId zone : before) {
        if (!contains(current_.zones, zone)) {
            changes_.push_back({ zone, false });
        }
    }
    for (const ZoneId zone : current_.zones) {
        if (!contains(before, zone)) {
            changes_.push_back({ zone, true });
        }
    }
    return before != current_.zones;
}

} // namespace poplarroad
