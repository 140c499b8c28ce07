#include "service/directorysync.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

DirectorySync::DirectorySync(DirectoryIdentity identity, std::uint64_t seed, TimePoint startedAt)
    : identity_(std::move(identity))
    , random_(seed)
    , startedAt_(startedAt)
    , nextRequestAt_(startedAt + FirstRequestDelay)
    , nextTimer_(startedAt)
    // Routes that were withdrawn must not come back with a stale list; the changes of the targets follow from peers.
    , watchers_{ DirectoryWatcher(DirectoryTiming::ServicesWatchTime, ReadFreshness::Current, random_.next()),
                 DirectoryWatcher(DirectoryTiming::TargetsWatchTime, ReadFreshness::MayBeStale, random_.next()) }
    , election_(identity_.self, identity_.rank, startedAt)
    , changeQueue_(identity_.contentBytesPerSecond)
    , completeListQueue_(identity_.contentBytesPerSecond)
{
    if (identity_.evacuations) {
        // Callers' packets wait for the first set, so a cheap read that may be stale is made at once. Beacons, content
        // or, if none arrives, the store confirm it before this balancer is ready.
        watchers_.emplace_back(DirectoryTiming::EvacuationsWatchTime, ReadFreshness::MayBeStale, random_.next());
    }
}

void DirectorySync::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
    if (view_->joined) {
        election_.setMembers(view_->hosts);
    }
}

void DirectorySync::onTimer(TimePoint now, DirectoryActions &actions)
{
    runDueWork(now, actions);
}

void DirectorySync::runDueWork(TimePoint now, DirectoryActions &actions)
{
    publish(targets_.onTimer(now, targetsKnownUntil(now)), actions);
    if (evacuations_.onTimer(now, evacuationsKnownUntil(now))) {
        publishEvacuations(true, EvacuationSource::HoldTime, actions);
    }
    updateFollowing(now, actions);
    checkReady(now, actions);
    confirmByStore(now);
    sendBeacon(now, actions);
    requestFromPeers(now, actions);
    sendQueued(changeQueue_, now, actions);
    sendQueued(completeListQueue_, now, actions);
    nextTimer_ = std::min(
        { election_.nextTimer(now), nextRequestAt_, changeQueue_.nextTimer(), completeListQueue_.nextTimer() });
    if (targets_.nextTimer() > now) {
        nextTimer_ = std::min(nextTimer_, targets_.nextTimer());
    }
    if (evacuations_.nextTimer() > now) {
        nextTimer_ = std::min(nextTimer_, evacuations_.nextTimer());
    }
    if (contentSince_ && !ready_) {
        nextTimer_ =
            std::min(nextTimer_, *contentSince_ + (askedStoreToConfirm_ ? ConfirmationTimeout : PeerConfirmationTime));
    }
    callStore(now, actions);
}

void DirectorySync::updateFollowing(TimePoint now, DirectoryActions &actions)
{
    const std::optional<TimePoint> lastContact = contact();
    if (election_.update(lastContact, !leaving_, now, eraOf(targets_.revision()))) {
        std::optional<Milliseconds> age;
        if (lastContact) {
            age = std::chrono::duration_cast<Milliseconds>(now - *lastContact);
        }
        actions.emplace_back(FollowingChange{ election_.follows(), election_.position(), age });
    }
    for (DirectoryWatcher &watcher : watchers_) {
        watcher.setFollowing(election_.follows(), now);
    }
}

void DirectorySync::callStore(TimePoint now, DirectoryActions &actions)
{
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        if (static_cast<std::size_t>(part) >= watchers_.size() || isHeldBack(part)) {
            continue;
        }
        if (const auto due = watcherOf(part).next(now)) {
            actions.emplace_back(CallStore{ part, *due });
        }
        nextTimer_ = std::min(nextTimer_, watcherOf(part).nextTimer());
    }
}

bool DirectorySync::isHeldBack(DirectoryPart part) const
{
    // While the store answers for no part, only the short read of the services finds out when it does again.
    const bool answersNone = std::all_of(watchers_.begin(), watchers_.end(),
                                         [](const DirectoryWatcher &watcher) { return watcher.isFailing(); });
    return part != DirectoryPart::Services && answersNone && election_.follows();
}

std::optional<TimePoint> DirectorySync::contact() const
{
    // An answer vouches for its own part only. It counts for the other one from the moment when the store is back until
    // that part is read, so that one balancer reads it and not all that wait for the store.
    std::optional<TimePoint> oldest = TimePoint::max();
    for (const DirectoryWatcher &watcher : watchers_) {
        std::optional<TimePoint> known = watcher.lastContact();
        for (const DirectoryWatcher &other : watchers_) {
            const std::optional<TimePoint> back = other.answeringSince();
            if (back && !watcher.failedSince(*back)) {
                known = std::max(known, back);
            }
        }
        oldest = std::min(oldest, known);
    }
    return oldest;
}

std::optional<TimePoint> DirectorySync::targetsContact() const
{
    // A list that may be stale, or lacks entries, says nothing about the entries that are missing from it.
    return targetsTruncated_ ? std::nullopt : watcherOf(DirectoryPart::Targets).currentAt();
}

TimePoint DirectorySync::targetsKnownUntil(TimePoint now) const
{
    std::optional<TimePoint> known;
    if (election_.follows()) {
        known = targetsContact();
    }
    const auto follower = election_.followerTargets(now);
    // A follower with a newer list, or with one of an earlier era, says nothing about the entries of this one.
    if (follower && isOfOwnEra(follower->lastChange) && follower->lastChange <= targets_.lastChange()) {
        known = std::max(known, std::optional(follower->knownUntil));
    }
    return known.value_or(TimePoint::min());
}

void DirectorySync::onStoreAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer, TimePoint now,
                                  DirectoryActions &actions)
{
    if (watcherOf(part).onAnswer(number, answer, now)) {
        PendingContent before{ {}, services_ ? services_->version : 0, targets_.revision() };
        const Revision lastChange = targets_.lastChange();
        bool changed = answer.services && applyServices(answer.services, actions);
        if (part == DirectoryPart::Targets) {
            ListReading reading{ {}, std::move(answer.segments) };
            for (const RefusedEntry &entry : answer.refused) {
                if (entry.target) {
                    reading.unreadable.push_back(*entry.target);
                }
            }
            targetsTruncated_ = answer.truncated || (targetsTruncated_ && !answer.complete);
            const Revision revision = targetsTruncated_ ? targets_.revision() : answer.revision;
            const TargetUpdate update{ revision, answer.complete, std::move(answer.targets) };
            changed = applyTargets(update, reading, now, actions) || changed;
            if (watcherOf(part).completelyReadAt() == now) {
                verification_.onRead(targets_.digest(), now);
            }
        }
        if (part == DirectoryPart::Evacuations) {
            applyEvacuations(answer, now, actions);
        }
        // Peers may have the last list of an era at any revision since its last change.
        before.targets = isOfOwnEra(before.targets) ? before.targets : lastChange;
        if (changed && election_.follows() && before.serviceVersion != 0 && before.targets.value != 0) {
            queueContent(membersAndGateways(), before);
        }
    }
    runDueWork(now, actions);
}

bool DirectorySync::applyServices(const ServiceMapPtr &services, DirectoryActions &actions)
{
    // The version never decreases while the process runs.
    if (services_ && services->version <= services_->version) {
        return false;
    }
    services_ = withKnownRoutes(services_, services);
    actions.emplace_back(PublishServices{ services_ });
    return true;
}

bool DirectorySync::applyTargets(const TargetUpdate &update, const ListReading &reading, TimePoint now,
                                 DirectoryActions &actions)
{
    TargetUpdate applied = targets_.apply(update, now, reading);
    const bool changed = !applied.changes.empty();
    publish(std::move(applied), actions);
    return changed;
}

void DirectorySync::publish(TargetUpdate update, DirectoryActions &actions)
{
    if (!update.changes.empty() || update.complete) {
        actions.emplace_back(PublishTargets{ std::move(update) });
    }
}

void DirectorySync::checkReady(TimePoint now, DirectoryActions &actions)
{
    if (ready_ || !hasContent()) {
        return;
    }
    if (!contentSince_) {
        contentSince_ = now;
        nextRequestAt_ = now;
        watcherOf(DirectoryPart::Services).skipStart();
        watcherOf(DirectoryPart::Targets).skipStart();
    }
    const bool currentHere = watcherOf(DirectoryPart::Services).currentAt().has_value()
        && watcherOf(DirectoryPart::Targets).currentAt().has_value();
    confirmed_ = confirmed_ || currentHere;
    const bool allConfirmed = confirmed_ && knowsEvacuations();
    if (allConfirmed || now >= *contentSince_ + ConfirmationTimeout) {
        ready_ = true;
        actions.emplace_back(DirectoryReady{ allConfirmed });
    }
}

void DirectorySync::confirmByStore(TimePoint now)
{
    const bool due = contentSince_ && now >= *contentSince_ + PeerConfirmationTime;
    if (due && !ready_ && !askedStoreToConfirm_) {
        askedStoreToConfirm_ = true;
        if (!confirmed_) {
            watcherOf(DirectoryPart::Targets).catchUp(targets_.revision(), now);
        }
        if (!knowsEvacuations()) {
            watcherOf(DirectoryPart::Evacuations).catchUp(evacuations_.storeRevision(), now);
        }
    }
}

void DirectorySync::beginLeave(TimePoint now, DirectoryActions &actions)
{
    const bool followed = election_.follows();
    leaving_ = true;
    if (followed) {
        actions.emplace_back(SendFleetMessage{ membersAndGateways(), election_.farewell(state()) });
    }
    runDueWork(now, actions);
}

void DirectorySync::onPaused(TimePoint now, DirectoryActions &actions)
{
    for (DirectoryWatcher &watcher : watchers_) {
        watcher.restart(now);
    }
    runDueWork(now, actions);
}

DirectoryState DirectorySync::state() const
{
    return { services_ ? services_->version : 0,
             targets_.lastChange(),
             contact(),
             targets_.digest(),
             targetsContact(),
             evacuations_.current() };
}

} // namespace poplarroad
