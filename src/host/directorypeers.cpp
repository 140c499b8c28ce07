// Messages that a DirectoryTask exchanges with other balancers: beacons, requests, content and introductions.

#include "host/directorytask.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Number of balancers that get a message for which one receiver would be enough. */
constexpr std::size_t MessageFanout = 3;
/** Requesters kept for each other zone, to introduce them to later requesters of that zone. */
constexpr std::size_t MaxRequesters = 8;
/** Interval at which a balancer that is alone in its zone looks for others. */
constexpr std::chrono::seconds PeerSearchPeriod{ 5 };
/** Encoded size of a route that shares its group with many others. */
constexpr std::size_t EncodedRouteBytes = 8;
/** Encoded size of a target. */
constexpr std::size_t EncodedTargetBytes = 88;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void DirectoryTask::onFleetMessage(const FleetMessageReceived &received)
{
    std::visit(Visitor{
                   [&](const DirectoryBeacon &beacon) { onBeacon(received, beacon); },
                   [&](const DirectoryRequest &request) { onRequest(received, request); },
                   [&](const ZoneIntroduction &introduction) {
                       callbacks_.addPeers({ introduction.hosts, {} });
                   },
                   [&](const DirectoryContent &content) { onContent(received, content); },
                   [](const LoadReport &) {}, // handled by the packet task
               },
               received.message);
}

void DirectoryTask::onRequest(const FleetMessageReceived &received, const DirectoryRequest &request)
{
    queueContent({ received.from }, request.serviceVersion, request.targets);
    if (received.zone != zone_) {
        sendIntroduction(received);
    }
}

void DirectoryTask::sendIntroduction(const FleetMessageReceived &received)
{
    std::deque<HostAddress> &requesters = requesters_[received.zone];
    std::vector<HostAddress> hosts(requesters.begin(), requesters.end());
    const ZoneSummary *const zone = view_ ? view_->findZone(received.zone) : nullptr;
    if (zone) {
        hosts.insert(hosts.end(), zone->gateways.begin(), zone->gateways.end());
    }
    std::erase(hosts, received.from);
    if (!hosts.empty()) {
        callbacks_.toPeers({ { received.from }, ZoneIntroduction{ std::move(hosts) } });
    }
    std::erase(requesters, received.from);
    requesters.push_back(received.from);
    if (requesters.size() > MaxRequesters) {
        requesters.pop_front();
    }
}

void DirectoryTask::onBeacon(const FleetMessageReceived &received, const DirectoryBeacon &beacon)
{
    const DirectoryElection::Reaction reaction = election_.onBeacon(beacon, state(), now());
    if (reaction.request) {
        callbacks_.toPeers({ { received.from }, *reaction.request });
    }
    if (reaction.readStore) {
        for (DirectoryWatcher &watcher : watchers_) {
            watcher.restart(now());
        }
    }
    if (received.zone != zone_ && !beacon.relayed) {
        DirectoryBeacon relayed = beacon;
        relayed.relayed = true;
        callbacks_.toPeers({ zoneMembers(), relayed });
    }
}

void DirectoryTask::onContent(const FleetMessageReceived &received, const DirectoryContent &content)
{
    const std::uint64_t version = services_ ? services_->version : 0;
    const Revision before = targets_.revision();
    bool changed = content.services && applyServices(content.services);
    peerAnswered_ = true;
    // Ignores changes that leave a gap after the known list; at the next beacon this balancer requests all of them.
    if (content.targets.complete || (before.value != 0 && content.targetsAfter <= before)) {
        changed = applyTargets(content.targets) || changed;
    }
    if (changed && received.zone != zone_) {
        queueContent(zoneMembers(), version, before);
    }
}

void DirectoryTask::sendBeacon(TimePoint time)
{
    if (const auto beacon = election_.beacon(state(), time)) {
        std::vector<HostAddress> hosts = membersAndGateways();
        // Without contact to the store every balancer sends beacons, so each sends them to a few peers only.
        if (Milliseconds(beacon->contactAgeMs) >= DirectoryElection::MaxContactAge) {
            random_.shuffle(hosts);
            hosts.resize(std::min(hosts.size(), MessageFanout));
        }
        callbacks_.toPeers({ std::move(hosts), *beacon });
    }
}

void DirectoryTask::requestFromPeers(TimePoint time)
{
    if (time < nextRequestAt_) {
        return;
    }
    const bool alone = zoneMembers().empty();
    if (time - startedAt_ > DirectoryElection::StartupQueryTime) {
        nextRequestAt_ = time + PeerSearchPeriod;
        if (!alone) {
            return;
        }
    } else if (peerAnswered_ && !alone) {
        nextRequestAt_ = startedAt_ + DirectoryElection::StartupQueryTime;
        return;
    } else {
        nextRequestAt_ = time + DirectoryElection::RequestTimeout;
    }
    std::vector<HostAddress> hosts = membersAndGateways();
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(hosts),
                 [&](const HostAddress &host) { return host != self_; });
    hosts.resize(std::min(hosts.size(), MessageFanout));
    const DirectoryState known = state();
    callbacks_.toPeers({ std::move(hosts), DirectoryRequest{ known.serviceVersion, known.targets } });
}

void DirectoryTask::queueContent(const std::vector<HostAddress> &hosts, std::uint64_t serviceVersion, Revision targets)
{
    if (!ready_) {
        return;
    }
    // While changes are delayed, balancers still use targets that leave; complete lists must not delay changes.
    ContentQueue &queue = targets_.hasChangesSince(targets) ? changeQueue_ : completeListQueue_;
    for (const HostAddress &host : hosts) {
        queue.add({ host, serviceVersion, targets });
    }
}

void DirectoryTask::sendQueued(ContentQueue &queue, TimePoint time)
{
    while (const auto next = queue.take(time)) {
        DirectoryContent content;
        content.services = services_->version > next->serviceVersion ? services_ : nullptr;
        content.targets = targets_.updateSince(next->targets);
        content.targetsAfter = next->targets;
        queue.onSent((content.services ? content.services->routes.size() * EncodedRouteBytes : 0)
                         + content.targets.changes.size() * EncodedTargetBytes,
                     time);
        callbacks_.toPeers({ { next->host }, std::move(content) });
    }
}

DirectoryState DirectoryTask::state() const
{
    std::optional<TimePoint> contact;
    for (const DirectoryWatcher &watcher : watchers_) {
        contact = std::max(contact, watcher.lastContact());
    }
    return { services_ ? services_->version : 0, targets_.lastChange(), contact };
}

std::vector<HostAddress> DirectoryTask::zoneMembers() const
{
    std::vector<HostAddress> hosts;
    for (const HostRecord &host : view_ ? view_->hosts : std::vector<HostRecord>()) {
        if (host.address != self_ && host.state != HostState::Dead) {
            hosts.push_back(host.address);
        }
    }
    return hosts;
}

std::vector<HostAddress> DirectoryTask::gateways() const
{
    std::vector<HostAddress> hosts;
    for (const ZoneSummary &zone : view_ ? view_->otherZones : std::vector<ZoneSummary>()) {
        hosts.insert(hosts.end(), zone.gateways.begin(), zone.gateways.end());
    }
    return hosts;
}

std::vector<HostAddress> DirectoryTask::membersAndGateways() const
{
    std::vector<HostAddress> hosts = zoneMembers();
    const std::vector<HostAddress> others = gateways();
    hosts.insert(hosts.end(), others.begin(), others.end());
    return hosts;
}

} // namespace poplarroad
