#include "host/directorytask.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <random>

namespace poplarroad
{

namespace
{

/** Longer than a late timer on a small machine; what the store said before is old then. */
constexpr Milliseconds pauseLimit{ 700 };
/** The end of each watch shows that the store still answers; a change has to be in force within 3 s. */
constexpr Milliseconds servicesWait{ 1000 };
/** A target may be used for 3 s after its entry says that it drains. */
constexpr Milliseconds targetsWait{ 2000 };

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/** Balancers that get a message of which one receiver would be enough. */
constexpr std::size_t fewPeers = 3;

/** Balancers of another zone that are remembered to introduce them to each other. */
constexpr std::size_t longestAskers = 8;
/** How often a balancer that is alone in its zone looks for others. */
constexpr std::chrono::seconds aloneAskPeriod{ 5 };
/** The store answers a balancer that starts within this; what it told need not be asked for. */
constexpr Milliseconds firstAskDelay{ 150 };
/** Part of the link that content for other balancers may take. */
constexpr double contentPart = 0.2;
constexpr double bitsPerByte = 8.0;
/** Encoded size of a route in a group of many, and of a target. */
constexpr std::size_t routeBytes = 8;
constexpr std::size_t targetBytes = 88;

/** Hosts with more processor follow the store for the others. */
std::uint64_t rankOf(const Settings &settings)
{
    constexpr double steps = 1000.0;
    return static_cast<std::uint64_t>(settings.processorShare * steps);
}

} // namespace

DirectoryTask::DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Receivers receivers,
                             CounterSet &counters, LogSink &logSink)
    : receivers_(std::move(receivers))
    , counters_(counters)
    , log_(logSink)
    , source_(makeSource(loop_))
    , feeds_{ DirectoryFeed(servicesWait, std::random_device()()), DirectoryFeed(targetsWait, std::random_device()()) }
    , self_(settings.peers)
    , seeds_(settings.seeds)
    , random_(std::random_device()())
    , startedAt_(now())
    , nextAsk_(startedAt_ + firstAskDelay)
    , linkMbps_(settings.linkMbps)
    , zone_(zoneIdOf(settings.zone))
    , share_(settings.peers, rankOf(settings))
    , timer_(loop_, [this] { advance(); })
    , pauses_(loop_, pauseLimit, [this](Milliseconds) { onPaused(); })
    , mailbox_(loop_, [this](DirectoryTaskMessage &&message) { handle(std::move(message)); })
{
}

void DirectoryTask::start()
{
    timer_.armAt(now());
    pauses_.start();
    thread_.start(loop_, "directory");
}

void DirectoryTask::post(DirectoryTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void DirectoryTask::join()
{
    thread_.join();
}

void DirectoryTask::handle(DirectoryTaskMessage &&message)
{
    std::visit(Visitor{
                   [&](FleetViewChanged &changed) { view_ = std::move(changed.view); },
                   [&](const FleetMessageReceived &received) { onFleetMessage(received); },
                   [&](const BeginLeave &) { leaving_ = true; },
                   [&](const StopTask &) { loop_.stop(); },
               },
               message);
    advance();
}

void DirectoryTask::advance()
{
    const TimePoint time = now();
    publish(targets_.onTimer(time));
    const bool follows = share_.follows(time) && !leaving_;
    if (follows != following_) {
        following_ = follows;
        log_.write(LogEvent::FollowStore, time, { { "follows", follows } });
    }
    for (DirectoryFeed &each : feeds_) {
        each.setFollowing(follows, time);
    }
    if (follows) {
        sendBeacon(time);
    }
    askPeers(time);
    sendNextContent(time);
    TimePoint next = std::min(
        { targets_.nextTimer(), share_.nextTimer(time), nextAsk_, pending_.empty() ? TimePoint::max() : nextContent_ });
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        if (const auto due = feed(part).next(time)) {
            call(part, *due);
        }
        next = std::min(next, feed(part).nextTimer());
    }
    timer_.armAt(next);
}

void DirectoryTask::call(DirectoryPart part, const DirectoryFeed::Due &due)
{
    counters_.add(Counter::StoreCalls);
    const auto callback = [this, part, number = due.number](DirectoryAnswer answer) {
        onAnswer(part, number, std::move(answer));
    };
    std::visit(Visitor{
                   [&](const ReadPart &read) { source_->read(part, read.consistency, callback); },
                   [&](const WatchPart &watch) { source_->watch(part, watch.after, watch.wait, callback); },
               },
               due.call);
}

void DirectoryTask::onAnswer(DirectoryPart part, std::uint64_t number, DirectoryAnswer answer)
{
    noteStore(part, answer.error);
    if (feed(part).onAnswer(number, answer, now())) {
        const std::uint64_t version = services_ ? services_->version : 0;
        const Revision before = targets_.revision();
        bool news = answer.services && takeServices(answer.services);
        if (part == DirectoryPart::Targets) {
            news = takeTargets({ answer.revision, answer.complete, std::move(answer.targets) }) || news;
        }
        if (news && following_ && version != 0 && before.value != 0) {
            std::vector<HostAddress> hosts = zoneMembers();
            const std::vector<HostAddress> others = gateways();
            hosts.insert(hosts.end(), others.begin(), others.end());
            sendContent(hosts, version, before);
        }
    }
    advance();
}

void DirectoryTask::noteStore(DirectoryPart part, const std::optional<StoreError> &error)
{
    if (error) {
        counters_.add(Counter::StoreFailures);
    }
    if (storeReachable_ == !error) {
        return;
    }
    storeReachable_ = !error;
    if (error) {
        log_.write(LogEvent::StoreLost, now(), { { "part", nameOf(part) }, { "reason", nameOf(*error) } });
    } else {
        log_.write(LogEvent::StoreRegained, now(), { { "part", nameOf(part) } });
    }
}

bool DirectoryTask::takeServices(const ServiceMapPtr &services)
{
    // Versions never go back within one life of the process.
    if (services_ && services->version <= services_->version) {
        return false;
    }
    services_ = services;
    log_.write(LogEvent::ServicesInForce, now(),
               { { "version", static_cast<std::int64_t>(services->version) },
                 { "routes", static_cast<std::int64_t>(services->routes.size()) } });
    receivers_.toPackets(ServicesInForce{ services });
    checkReady();
    return true;
}

bool DirectoryTask::takeTargets(const TargetUpdate &update)
{
    const TargetUpdate news = targets_.apply(update, now());
    publish(news);
    checkReady();
    return !news.changes.empty();
}

void DirectoryTask::checkReady()
{
    if (!ready_ && services_ && targets_.revision().value != 0) {
        ready_ = true;
        log_.write(LogEvent::Ready, now(),
                   { { "version", static_cast<std::int64_t>(services_->version) },
                     { "targets", static_cast<std::int64_t>(targets_.size()) } });
        receivers_.ready();
    }
}

void DirectoryTask::publish(const TargetUpdate &news)
{
    if (news.changes.empty() && !news.complete) {
        return;
    }
    for (const TargetChange &change : news.changes) {
        log_.write(LogEvent::TargetListed, now(),
                   { { "target", static_cast<std::int64_t>(change.target.target.id.value) },
                     { "name", change.target.target.name },
                     { "listing", nameOf(change.listing) },
                     { "state", change.listing == Listing::Gone ? "" : nameOf(change.target.target.state) },
                     { "revision", static_cast<std::int64_t>(change.revision.value) } });
    }
    receivers_.toPackets(news);
}

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
    const DirectoryShare::Reaction reaction = share_.onBeacon(beacon, state(), now());
    if (reaction.request) {
        receivers_.toPeers({ { received.from }, *reaction.request });
    }
    if (reaction.readStore) {
        for (DirectoryFeed &each : feeds_) {
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
        std::vector<HostAddress> hosts = zoneMembers();
        const std::vector<HostAddress> others = gateways();
        hosts.insert(hosts.end(), others.begin(), others.end());
        // Without contact every balancer sends beacons, each to a few.
        if (Milliseconds(beacon->contactAgeMs) >= DirectoryShare::FreshContact) {
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
    if (time - startedAt_ > DirectoryShare::JoinTime) {
        nextAsk_ = time + aloneAskPeriod;
        if (!alone) {
            return;
        }
    } else if (peerAnswered_ && !alone) {
        nextAsk_ = startedAt_ + DirectoryShare::JoinTime;
        return;
    } else {
        nextAsk_ = time + DirectoryShare::RequestTimeout;
    }
    std::vector<HostAddress> hosts = zoneMembers();
    for (const auto &more : { gateways(), seeds_ }) {
        std::copy_if(more.begin(), more.end(), std::back_inserter(hosts),
                     [&](const HostAddress &host) { return host != self_; });
    }
    hosts.resize(std::min(hosts.size(), fewPeers));
    const DirectoryState known = state();
    receivers_.toPeers({ std::move(hosts), DirectoryRequest{ known.serviceVersion, known.targets } });
}

void DirectoryTask::sendContent(const std::vector<HostAddress> &hosts, std::uint64_t serviceVersion, Revision targets)
{
    if (!ready_) {
        return;
    }
    for (const HostAddress &host : hosts) {
        const auto known = std::find_if(pending_.begin(), pending_.end(),
                                        [&](const PendingContent &content) { return content.host == host; });
        if (known == pending_.end()) {
            pending_.push_back({ host, serviceVersion, targets });
        } else {
            known->serviceVersion = std::min(known->serviceVersion, serviceVersion);
            known->targets = std::min(known->targets, targets);
        }
    }
}

void DirectoryTask::sendNextContent(TimePoint time)
{
    while (!pending_.empty() && time >= nextContent_) {
        const PendingContent next = pending_.front();
        pending_.pop_front();
        DirectoryContent content;
        content.services = services_->version > next.serviceVersion ? services_ : nullptr;
        content.targets = targets_.since(next.targets);
        content.targetsAfter = next.targets;
        const std::size_t bytes = (content.services ? content.services->routes.size() * routeBytes : 0)
            + content.targets.changes.size() * targetBytes;
        // The callers' packets share the link and must not wait behind a large content.
        const std::chrono::duration<double, std::micro> taken(static_cast<double>(bytes) * bitsPerByte
                                                              / (linkMbps_ * contentPart));
        nextContent_ = std::max(nextContent_, time) + std::chrono::duration_cast<Microseconds>(taken);
        receivers_.toPeers({ { next.host }, std::move(content) });
    }
}

DirectoryState DirectoryTask::state() const
{
    std::optional<TimePoint> contact;
    for (const DirectoryFeed &each : feeds_) {
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

void DirectoryTask::onPaused()
{
    log_.write(LogEvent::Paused, now(), {});
    for (DirectoryFeed &each : feeds_) {
        each.restart(now());
    }
    advance();
}

} // namespace poplarroad
