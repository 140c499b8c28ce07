// Messages that a balancer exchanges with others about the directory: beacons, requests, content and introductions.

#include "service/directorysync.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Requesters kept for each other zone, to introduce them to later requesters of that zone. */
constexpr std::size_t MaxRequesters = 8;
/** Encoded size of a route that shares its group with many others. */
constexpr std::size_t EncodedRouteBytes = 8;
/** Encoded size of a target. */
constexpr std::size_t EncodedTargetBytes = 96;
/** Encoded size of a message without routes and targets. */
constexpr std::size_t EncodedMessageBytes = 100;

std::size_t encodedSize(const DirectoryContent &content)
{
    return EncodedMessageBytes + (content.services ? content.services->routes.size() * EncodedRouteBytes : 0)
        + content.targets.changes.size() * EncodedTargetBytes + content.evacuations.zones.size() * sizeof(ZoneId);
}

} // namespace

void DirectorySync::onMessage(const HostAddress &from, ZoneId zone, const FleetMessage &message, TimePoint now,
                              DirectoryActions &actions)
{
    std::visit(Visitor{
                   [&](const DirectoryBeacon &beacon) { onBeacon(from, zone, beacon, now, actions); },
                   [&](const DirectoryRequest &request) { onRequest(from, zone, request, now, actions); },
                   [&](const ZoneIntroduction &introduction) { actions.emplace_back(AddPeers{ introduction.hosts }); },
                   [&](const DirectoryContent &content) { onContent(zone, content, now, actions); },
                   [](const LoadReport &) {}, // handled by the packet task
               },
               message);
    runDueWork(now, actions);
}

void DirectorySync::onRequest(const HostAddress &from, ZoneId zone, const DirectoryRequest &request, TimePoint now,
                              DirectoryActions &actions)
{
    // The follower's beacon tells a balancer that starts that another one follows, and whether its list is current.
    if (const auto beacon = election_.knownBeacon(state(), now)) {
        actions.emplace_back(SendFleetMessage{ { from }, *beacon });
    }
    if (request.differs) {
        replyToDifference(from, request, now);
    } else if (ready_) {
        const bool lacksHistory = request.changesOnly && !targets_.hasChangesSince(request.targets);
        queueContent({ from }, { {}, request.serviceVersion, request.targets, lacksHistory });
    }
    if (zone != identity_.zone) {
        sendIntroduction(from, zone, actions);
    }
}

void DirectorySync::replyToDifference(const HostAddress &from, const DirectoryRequest &request, TimePoint now)
{
    DirectoryWatcher &watcher = watcherOf(DirectoryPart::Targets);
    if (!election_.follows() || watcher.isReading()) {
        return; // the sender compares its list with the next beacons again
    }
    if (verification_.isDue(now)) {
        watcher.verify(now);
        return;
    }
    queueContent({ from }, { {}, request.serviceVersion, {}, false });
}

void DirectorySync::sendIntroduction(const HostAddress &to, ZoneId zone, DirectoryActions &actions)
{
    auto known =
        std::find_if(requesters_.begin(), requesters_.end(), [&](const auto &entry) { return entry.first == zone; });
    if (known == requesters_.end()) {
        known = requesters_.insert(requesters_.end(), { zone, {} });
    }
    std::deque<HostAddress> &requesters = known->second;
    std::vector<HostAddress> hosts(requesters.begin(), requesters.end());
    if (const ZoneSummary *const summary = view_ ? view_->findZone(zone) : nullptr) {
        hosts.insert(hosts.end(), summary->gateways.begin(), summary->gateways.end());
    }
    std::erase(hosts, to);
    if (!hosts.empty()) {
        actions.emplace_back(SendFleetMessage{ { to }, ZoneIntroduction{ std::move(hosts) } });
    }
    std::erase(requesters, to);
    requesters.push_back(to);
    if (requesters.size() > MaxRequesters) {
        requesters.pop_front();
    }
}

void DirectorySync::onBeacon(const HostAddress &from, ZoneId zone, const DirectoryBeacon &beacon, TimePoint now,
                             DirectoryActions &actions)
{
    election_.onBeacon(beacon, now);
    const bool sameTargets = beacon.targetsDigest == targets_.digest() && hasContent();
    if (beacon.targets > targets_.lastChange() && sameTargets) {
        targets_.confirmSame(beacon.targets, now);
    }
    requestNewer(from, beacon, now, actions);
    compareList(beacon, now, actions);
    const bool hasContact = Milliseconds(beacon.contactAgeMs) < DirectoryElection::MaxContactAge;
    applyEvacuations(beacon.evacuations, hasContact, now, actions);
    replyToOutdated(from, beacon, actions);
    const bool isBehind = std::any_of(lags_.begin(), lags_.end(), [](const Lag &lag) { return lag.since.has_value(); });
    // After a change of era, only the content of a peer shows which targets that left the list still has.
    confirmed_ = confirmed_ || (sameTargets && hasContact && !isBehind && eraOf(targets_.revision()) == 0);
    if (zone != identity_.zone && !beacon.relayed) {
        DirectoryBeacon relayed = beacon;
        relayed.relayed = true;
        actions.emplace_back(SendFleetMessage{ zoneMembers(), relayed });
    }
}

void DirectorySync::compareList(const DirectoryBeacon &beacon, TimePoint now, DirectoryActions &actions)
{
    // A follower without contact to the store vouches for no list, nor does one of another era.
    const bool isCurrent = Milliseconds(beacon.targetsContactAgeMs) < DirectoryElection::MaxContactAge;
    const bool isBehind = beacon.targets > targets_.lastChange();
    if (election_.follows() || !isCurrent || isBehind || !isOfOwnEra(beacon.targets) || !hasCompleteTargets()
        || targetsTruncated_) {
        return;
    }
    if (comparison_.onBeacon(beacon.targetsDigest == targets_.digest(), now)) {
        actions.emplace_back(ListDiffers{ beacon.follower, targets_.lastChange(), beacon.targets });
        actions.emplace_back(SendFleetMessage{
            { beacon.follower },
            DirectoryRequest{ services_ ? services_->version : 0, targets_.revision(), false, true } });
    }
}

void DirectorySync::requestNewer(const HostAddress &from, const DirectoryBeacon &beacon, TimePoint now,
                                 DirectoryActions &actions)
{
    const DirectoryState known = state();
    const std::array<bool, EnumNames<DirectoryPart>::table.size()> behind{ beacon.serviceVersion > known.serviceVersion,
                                                                           beacon.targets > known.targets };
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        Lag &lag = lags_[static_cast<std::size_t>(part)];
        if (!behind[static_cast<std::size_t>(part)]) {
            lag.since.reset();
            continue;
        }
        if (!lag.since) {
            lag.since = now;
            lag.fallbackAt = now + StoreFallbackDelay
                + std::chrono::duration_cast<Microseconds>(StoreFallbackSpread * random_.nextDouble());
        } else if (now >= lag.fallbackAt) {
            lag.fallbackAt = now + StoreFallbackDelay;
            const bool isServices = part == DirectoryPart::Services;
            watcherOf(part).catchUp(isServices ? Revision{} : targets_.revision(), now);
        }
    }
    const bool anyBehind = std::find(behind.begin(), behind.end(), true) != behind.end();
    if (anyBehind && now >= nextCatchUpRequest_) {
        nextCatchUpRequest_ = now + RequestTimeout;
        const bool justStarted = hasContent() && hasCompleteTargets() && !ready_;
        actions.emplace_back(
            SendFleetMessage{ { from }, DirectoryRequest{ known.serviceVersion, targets_.revision(), justStarted } });
    }
}

void DirectorySync::onContent(ZoneId zone, const DirectoryContent &content, TimePoint now, DirectoryActions &actions)
{
    PendingContent before{ {}, services_ ? services_->version : 0, targets_.revision() };
    const Revision lastChange = targets_.lastChange();
    bool changed = content.services && applyServices(content.services, actions);
    // Ignores changes that leave a gap after the known list; at the next beacon this balancer requests all of them.
    const bool applies = content.targets.complete
        ? content.targets.revision != before.targets || comparison_.isRepairing()
        : before.targets.value != 0 && content.targetsAfter <= before.targets;
    // A peer of an earlier era neither replaces nor confirms the list.
    if (!content.targets.complete && eraOf(content.targets.revision) > eraOf(before.targets)) {
        TargetUpdate applied = targets_.applyAcrossEras(content.targets, content.targetsAfter, now);
        changed = !applied.changes.empty() || changed;
        publish(std::move(applied), actions);
    } else if (applies && eraOf(content.targets.revision) >= eraOf(before.targets)) {
        targetsTruncated_ = targetsTruncated_ && !content.targets.complete;
        changed = applyTargets(content.targets, {}, now, actions) || changed;
        // A peer with an older list may lack the same changes. In a later era only its content has the departed targets.
        const bool confirms = content.targets.revision >= before.targets || eraOf(before.targets) > 0;
        confirmed_ = confirmed_ || (confirms && hasContent());
    } else {
        publish(targets_.applyUnlistedState(content.targets.changes, now), actions);
    }
    before.targets = isOfOwnEra(before.targets) ? before.targets : lastChange;
    if (changed && zone != identity_.zone) {
        queueContent(zoneMembers(), before);
    }
    if (applyEvacuations(content.evacuations, true, now, actions) && zone != identity_.zone) {
        sendEvacuations(zoneMembers(), actions);
    }
}

void DirectorySync::sendBeacon(TimePoint now, DirectoryActions &actions)
{
    if (auto beacon = election_.beacon(state(), now)) {
        std::vector<HostAddress> hosts = membersAndGateways();
        // Without contact to the store several balancers follow, so each sends beacons to a few peers only.
        if (Milliseconds(beacon->contactAgeMs) >= DirectoryElection::MaxContactAge) {
            random_.shuffle(hosts);
            hosts.resize(std::min(hosts.size(), MessageFanout));
        }
        actions.emplace_back(SendFleetMessage{ std::move(hosts), *beacon });
    }
}

void DirectorySync::requestFromPeers(TimePoint now, DirectoryActions &actions)
{
    // A balancer that restarted or was cut off learns from the others which targets left before the era.
    const StoreEra era = eraOf(targets_.revision());
    const bool isNewEra = era != requestedEra_;
    if (now < nextRequestAt_ && !isNewEra) {
        return;
    }
    const bool alone = zoneMembers().empty();
    if (ready_ && !alone && !isNewEra) {
        nextRequestAt_ = now + PeerSearchPeriod;
        return;
    }
    nextRequestAt_ = now + (now - startedAt_ > StartupQueryTime ? PeerSearchPeriod : RequestTimeout);
    std::vector<HostAddress> hosts = peersToAsk();
    if (isNewEra) {
        appendGateways(hosts);
    }
    if (!hosts.empty()) {
        const DirectoryState known = state();
        const bool changesOnly = hasContent() && hasCompleteTargets();
        requestedEra_ = era;
        actions.emplace_back(
            SendFleetMessage{ hosts, DirectoryRequest{ known.serviceVersion, targets_.revision(), changesOnly } });
    }
}

void DirectorySync::appendGateways(std::vector<HostAddress> &hosts)
{
    for (const ZoneSummary &zone : view_ ? view_->otherZones : std::vector<ZoneSummary>()) {
        if (!zone.gateways.empty()) {
            hosts.push_back(zone.gateways[random_.nextBelow(zone.gateways.size())]);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
}

std::vector<HostAddress> DirectorySync::peersToAsk()
{
    std::vector<HostAddress> hosts = membersAndGateways();
    random_.shuffle(hosts);
    if (zoneMembers().empty()) {
        std::vector<HostAddress> seeds = identity_.seeds;
        std::erase(seeds, identity_.self);
        hosts.insert(hosts.begin(), seeds.begin(), seeds.end());
    }
    hosts.resize(std::min(hosts.size(), MessageFanout));
    return hosts;
}

void DirectorySync::queueContent(const std::vector<HostAddress> &hosts, const PendingContent &known)
{
    if (!ready_) {
        return;
    }
    // While changes are delayed, balancers still use targets that leave; complete lists must not delay changes.
    const bool isShort = known.servicesOnly || targets_.hasChangesSince(known.targets);
    const bool receiverHasList = known.targets.value != 0;
    if (!isShort && (targets_.isMixed() || (receiverHasList && !isListConfirmed()))) {
        // A mixed list is the list of no revision, and one that nobody confirmed must not replace another.
        return;
    }
    ContentQueue &queue = isShort ? changeQueue_ : completeListQueue_;
    PendingContent pending = known;
    for (const HostAddress &host : hosts) {
        pending.host = host;
        queue.add(pending);
    }
}

void DirectorySync::sendQueued(ContentQueue &queue, TimePoint now, DirectoryActions &actions)
{
    std::optional<PendingContent> lacking;
    SendFleetMessage message;
    std::size_t size = 0;
    while (auto next = queue.take(now)) {
        if (!lacking || !lacking->lacksSameAs(*next)) {
            if (lacking) {
                actions.emplace_back(std::move(message));
            }
            DirectoryContent content = contentFor(*next);
            size = encodedSize(content);
            message = { {}, std::move(content) };
            lacking = next;
        }
        message.hosts.push_back(next->host);
        queue.onSent(size, now);
    }
    if (lacking) {
        actions.emplace_back(std::move(message));
    }
}

DirectoryContent DirectorySync::contentFor(const PendingContent &known) const
{
    DirectoryContent content;
    content.services = services_->version > known.serviceVersion ? services_ : nullptr;
    content.evacuations = evacuations_.current();
    if (known.servicesOnly || !hasCompleteTargets()) {
        // Changes after this list; the receiver has an older one and ignores them.
        content.targets.revision = targets_.revision();
        content.targetsAfter = targets_.revision();
        content.targets.changes = targets_.unlistedState();
        return content;
    }
    content.targets = targets_.updateSince(known.targets);
    content.targetsAfter = known.targets;
    return content;
}

std::vector<HostAddress> DirectorySync::zoneMembers() const
{
    std::vector<HostAddress> hosts;
    for (const HostRecord &host : view_ ? view_->hosts : std::vector<HostRecord>()) {
        if (host.address != identity_.self && host.state != HostState::Dead) {
            hosts.push_back(host.address);
        }
    }
    return hosts;
}

std::vector<HostAddress> DirectorySync::membersAndGateways() const
{
    std::vector<HostAddress> hosts = zoneMembers();
    for (const ZoneSummary &zone : view_ ? view_->otherZones : std::vector<ZoneSummary>()) {
        hosts.insert(hosts.end(), zone.gateways.begin(), zone.gateways.end());
    }
    return hosts;
}

} // namespace poplarroad
