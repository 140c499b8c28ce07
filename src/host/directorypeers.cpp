// What a DirectoryTask exchanges with the other balancers: beacons, content and introductions.

#include "host/directorytask.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

/** Balancers that get a message of which one receiver would be enough. */
constexpr std::size_t fewPeers = 3;
/** Balancers of another zone that are remembered to introduce them to each other. */
constexpr std::size_t longestAskers = 8;
/** How often a balancer that is alone in its zone looks for others. */
constexpr std::chrono::seconds aloneAskPeriod{ 5 };
/** Encoded size of a route in a group of many, and of a target. */
constexpr std::size_t routeBytes = 8;
constexpr std::size_t targetBytes = 88;

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
                       receivers_.introduce({ introduction.hosts, {} });
                   },
                   [&](const DirectoryContent &content) { onContent(received, content); },
                   [](const LoadReport &) {}, // for the task of the packets
               },
               received.message);
}

void DirectoryTask::onRequest(const FleetMessageReceived &received, const DirectoryRequest &request)
{
    sendContent({ received.from }, request.serviceVersion, request.targets);
    if (received.zone != zone_) {
        introduce(received);
    }
}

void DirectoryTask::introduce(const FleetMessageReceived &received)
{
    std::deque<HostAddress> &askers = askers_[received.zone];
    std::vector<HostAddress> hosts(askers.begin(), askers.end());
    const ZoneSummary *const zone = view_ ? view_->findZone(received.zone) : nullptr;
    if (zone) {
        hosts.insert(hosts.end(), zone->gateways.begin(), zone->gateways.end());
    }
    std::erase(hosts, received.from);
    if (!hosts.empty()) {
        receivers_.toPeers({ { received.from }, ZoneIntroduction{ std::move(hosts) } });
    }
    std::erase(askers, received.from);
    askers.push_back(received.from);
    if (askers.size() > longestAskers) {
        askers.pop_front();
    }
}

void DirectoryTask::onBeacon(const FleetMessageReceived &received, const DirectoryBeacon &beacon)
{
    const DirectoryElection::Reaction reaction = share_.onBeacon(beacon, state(), now());
    if (reaction.request) {
        receivers_.toPeers({ { received.from }, *reaction.request });
    }
    if (reaction.readStore) {
        for (DirectoryWatcher &each : feeds_) {
            each.restart(now());
        }
    }
    if (received.zone != zone_ && !beacon.relayed) {
        DirectoryBeacon relayed = beacon;
        relayed.relayed = true;
        receivers_.toPeers({ zoneMembers(), relayed });
    }
}

void DirectoryTask::onContent(const FleetMessageReceived &received, const DirectoryContent &content)
{
    const std::uint64_t version = services_ ? services_->version : 0;
    const Revision before = targets_.revision();
    bool news = content.services && takeServices(content.services);
    peerAnswered_ = true;
    // Changes that do not follow the list are left out; the next beacon makes this balancer ask for all of them.
    if (content.targets.complete || (before.value != 0 && content.targetsAfter <= before)) {
        news = takeTargets(content.targets) || news;
    }
    if (news && received.zone != zone_) {
        sendContent(zoneMembers(), version, before);
    }
}

void DirectoryTask::sendBeacon(TimePoint time)
{
    if (const auto beacon = share_.beacon(state(), time)) {
        std::vector<HostAddress> hosts = membersAndGateways();
        // Without contact every balancer sends beacons, each to a few.
        if (Milliseconds(beacon->contactAgeMs) >= DirectoryElection::MaxContactAge) {
            random_.shuffle(hosts);
            hosts.resize(std::min(hosts.size(), fewPeers));
        }
        receivers_.toPeers({ std::move(hosts), *beacon });
    }
}

void DirectoryTask::askPeers(TimePoint time)
{
    if (time < nextAsk_) {
        return;
    }
    const bool alone = zoneMembers().empty();
    if (time - startedAt_ > DirectoryElection::StartupQueryTime) {
        nextAsk_ = time + aloneAskPeriod;
        if (!alone) {
            return;
        }
    } else if (peerAnswered_ && !alone) {
        nextAsk_ = startedAt_ + DirectoryElection::StartupQueryTime;
        return;
    } else {
        nextAsk_ = time + DirectoryElection::RequestTimeout;
    }
    std::vector<HostAddress> hosts = membersAndGateways();
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(hosts),
                 [&](const HostAddress &host) { return host != self_; });
    hosts.resize(std::min(hosts.size(), fewPeers));
    const DirectoryState known = state();
    receivers_.toPeers({ std::move(hosts), DirectoryRequest{ known.serviceVersion, known.targets } });
}

void DirectoryTask::sendContent(const std::vector<HostAddress> &hosts, std::uint64_t serviceVersion, Revision targets)
{
    if (!ready_) {
        return;
    }
    // A delay in front of changes lets balancers use targets that leave; whole lists must not cause one.
    ContentQueue &queue = targets_.hasChangesSince(targets) ? changes_ : wholeLists_;
    for (const HostAddress &host : hosts) {
        queue.add({ host, serviceVersion, targets });
    }
}

void DirectoryTask::sendFrom(ContentQueue &queue, TimePoint time)
{
    while (const auto next = queue.take(time)) {
        DirectoryContent content;
        content.services = services_->version > next->serviceVersion ? services_ : nullptr;
        content.targets = targets_.updateSince(next->targets);
        content.targetsAfter = next->targets;
        queue.onSent((content.services ? content.services->routes.size() * routeBytes : 0)
                         + content.targets.changes.size() * targetBytes,
                     time);
        receivers_.toPeers({ { next->host }, std::move(content) });
    }
}

DirectoryState DirectoryTask::state() const
{
    std::optional<TimePoint> contact;
    for (const DirectoryWatcher &each : feeds_) {
        contact = std::max(contact, each.lastContact());
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
