// Evacuations of zones: how the store's answers and the messages of other balancers change them, and who is told.

#include "service/directorysync.h"

#include <cstdint>

namespace poplarroad
{

void DirectorySync::applyEvacuations(const DirectoryResult &answer, TimePoint now, DirectoryActions &actions)
{
    const bool wasKnown = evacuations_.isKnown();
    if (answer.complete || answer.truncated) {
        evacuations_.applyList(answer.revision, answer.evacuations, answer.truncated, now);
    } else {
        evacuations_.applyChanges(answer.revision, answer.evacuations, now);
    }
    evacuationsConfirmed_ = evacuationsConfirmed_ || watcherOf(DirectoryPart::Evacuations).currentAt().has_value();
    publishEvacuations(wasKnown, EvacuationSource::Store, actions);
}

bool DirectorySync::applyEvacuations(const ZoneEvacuations &received, bool confirms, TimePoint now,
                                     DirectoryActions &actions)
{
    // A balancer without this setting sends revision 0.
    if (!identity_.evacuations || received.revision.value == 0) {
        return false;
    }
    const bool wasKnown = evacuations_.isKnown();
    const bool changed = evacuations_.applyPeer(received, now);
    evacuationsConfirmed_ = evacuationsConfirmed_ || confirms;
    watcherOf(DirectoryPart::Evacuations).skipStart();
    publishEvacuations(wasKnown, EvacuationSource::Peer, actions);
    return changed;
}

TimePoint DirectorySync::evacuationsKnownUntil(TimePoint now) const
{
    if (!identity_.evacuations) {
        return TimePoint::min();
    }
    std::optional<TimePoint> known;
    if (election_.follows()) {
        known = watcherOf(DirectoryPart::Evacuations).currentAt();
    }
    const auto follower = election_.followerTargets(now);
    const Revision revision = evacuations_.current().revision;
    if (follower && eraOf(follower->evacuations) == eraOf(revision) && follower->evacuations <= revision) {
        known = std::max(known, std::optional(follower->contact));
    }
    return known.value_or(TimePoint::min());
}

void DirectorySync::publishEvacuations(bool wasKnown, EvacuationSource source, DirectoryActions &actions)
{
    std::vector<ZoneChange> changes = evacuations_.takeChanges();
    // The first set is published even if it is empty: the packet task waits for it.
    if (!changes.empty() || (!wasKnown && evacuations_.isKnown())) {
        actions.emplace_back(PublishEvacuations{ evacuations_.current(), std::move(changes), source });
    }
}

void DirectorySync::replyToOutdated(const HostAddress &from, const DirectoryBeacon &beacon, DirectoryActions &actions)
{
    // Beacons go no further than to the zones that their sender reaches. A follower behind such a zone that has lost the
    // store too gets the set in reply to its own beacon, which goes to a few balancers only.
    const ZoneEvacuations &known = evacuations_.current();
    const bool hasContact = Milliseconds(beacon.contactAgeMs) < DirectoryElection::MaxContactAge;
    const bool isOlder = beacon.evacuations.revision < known.revision && beacon.evacuations.zones != known.zones;
    if (identity_.evacuations && beacon.follower == from && !hasContact && isOlder) {
        sendEvacuations({ from }, actions);
    }
}

void DirectorySync::sendEvacuations(std::vector<HostAddress> hosts, DirectoryActions &actions) const
{
    if (hosts.empty()) {
        return;
    }
    DirectoryContent content;
    // No list is at this revision, so the receiver ignores that there are no changes of targets.
    content.targetsAfter = Revision{ UINT64_MAX };
    content.evacuations = evacuations_.current();
    actions.emplace_back(SendFleetMessage{ std::move(hosts), std::move(content) });
}

} // namespace poplarroad
