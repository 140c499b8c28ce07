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
/** The store answers a balancer that starts within this; what it told need not be asked for. */
constexpr Milliseconds firstAskDelay{ 150 };

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/** Hosts with more processor follow the store for the others. */
std::uint64_t rankOf(const Settings &settings)
{
    constexpr double steps = 1000.0;
    return static_cast<std::uint64_t>(settings.processorShare * steps);
}

/** @return bytes a second that the changes, and as many that whole lists for other balancers may take */
double contentRate(const Settings &settings)
{
    /** Part of the link; the callers' packets share it and must not wait behind a large content. */
    constexpr double contentPart = 0.1;
    constexpr double bytesPerMegabit = 125'000.0;
    return settings.linkMbps * contentPart * bytesPerMegabit;
}

} // namespace

DirectoryTask::DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Receivers receivers,
                             CounterSet &counters, DirectoryMetrics &metrics, LogSink &logSink)
    : receivers_(std::move(receivers))
    , counters_(counters)
    , metrics_(metrics)
    , log_(logSink, settings.logLevel)
    , source_(makeSource(loop_))
    , feeds_{ DirectoryWatcher(servicesWait, std::random_device()()),
              DirectoryWatcher(targetsWait, std::random_device()()) }
    , self_(settings.peers)
    , seeds_(settings.seeds)
    , random_(std::random_device()())
    , startedAt_(now())
    , nextAsk_(startedAt_ + firstAskDelay)
    , changes_(contentRate(settings))
    , wholeLists_(contentRate(settings))
    , zone_(zoneIdOf(settings.zone))
    , share_(settings.peers, rankOf(settings))
    , timer_(loop_, [this] { advance(); })
    , pauses_(loop_, pauseLimit, [this](Milliseconds) { onPaused(); })
    , mailbox_(loop_, [this](DirectoryTaskMessage &&message) { handle(std::move(message)); })
{
}

void DirectoryTask::start()
{
    metrics_.follows.set(following_ ? 1 : 0);
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
        metrics_.follows.set(follows ? 1 : 0);
        log_.write(LogEvent::FollowStore, time, { { "follows", follows } });
    }
    for (DirectoryWatcher &each : feeds_) {
        each.setFollowing(follows, time);
    }
    if (follows) {
        sendBeacon(time);
    }
    askPeers(time);
    sendFrom(changes_, time);
    sendFrom(wholeLists_, time);
    TimePoint next = std::min(
        { targets_.nextTimer(), share_.nextTimer(time), nextAsk_, changes_.nextTimer(), wholeLists_.nextTimer() });
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        if (const auto due = feed(part).next(time)) {
            call(part, *due);
        }
        next = std::min(next, feed(part).nextTimer());
    }
    timer_.armAt(next);
}

void DirectoryTask::call(DirectoryPart part, const DirectoryWatcher::DueCall &due)
{
    counters_.add(Counter::StoreCalls);
    const auto callback = [this, part, number = due.number, calledAt = now()](DirectoryResult answer) {
        metrics_.storeCalls.add(now() - calledAt);
        onAnswer(part, number, std::move(answer));
    };
    std::visit(Visitor{
                   [&](const ReadPart &) { source_->read(part, callback); },
                   [&](const WatchPart &watch) { source_->watch(part, watch.after, watch.wait, callback); },
               },
               due.call);
}

void DirectoryTask::onAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer)
{
    noteStore(part, answer.error);
    counters_.add(Counter::TargetEntriesRefused, answer.refusedEntries);
    if (feed(part).onAnswer(number, answer, now())) {
        const std::uint64_t version = services_ ? services_->version : 0;
        const Revision before = targets_.revision();
        bool news = answer.services && takeServices(answer.services);
        if (part == DirectoryPart::Targets) {
            news = takeTargets({ answer.revision, answer.complete, std::move(answer.targets) }) || news;
        }
        if (news && following_ && version != 0 && before.value != 0) {
            sendContent(membersAndGateways(), version, before);
        }
    }
    advance();
}

void DirectoryTask::noteStore(DirectoryPart part, const std::optional<StoreError> &error)
{
    if (error) {
        counters_.add(Counter::StoreFailures);
        metrics_.storeErrors.add(*error);
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
    metrics_.servicesVersion.set(static_cast<std::int64_t>(services->version));
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
    metrics_.targets.set(static_cast<std::int64_t>(targets_.size()));
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
                     { "state", change.listing == ListingState::Gone ? "" : nameOf(change.target.target.state) },
                     { "revision", static_cast<std::int64_t>(change.revision.value) } });
    }
    receivers_.toPackets(news);
}

void DirectoryTask::onPaused()
{
    log_.write(LogEvent::Paused, now(), {});
    for (DirectoryWatcher &each : feeds_) {
        each.restart(now());
    }
    advance();
}

} // namespace poplarroad
