#include "host/directorytask.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <random>

namespace poplarroad
{

namespace
{

/** Exceeds the timer delays of a small machine. After a longer pause, the content from the store may be outdated. */
constexpr Milliseconds PauseLimit{ 700 };
/** The end of each watch shows that the store still answers; below the 3 s in which a change has to take effect. */
constexpr Milliseconds ServicesWatchTime{ 1000 };
/** Below the 3 s for which a target may still be used after its entry changes to draining. */
constexpr Milliseconds TargetsWatchTime{ 2000 };
/** Time for the store to answer a starting balancer, which then need not request the content from peers. */
constexpr Milliseconds FirstRequestDelay{ 150 };

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/** Ranks hosts with more processor time higher, so that they follow the store for the others. */
std::uint64_t rankOf(const Settings &settings)
{
    constexpr double stepsPerCore = 1000.0;
    return static_cast<std::uint64_t>(settings.processorShare * stepsPerCore);
}

/** @return rate limit of changes, and separately of complete lists, in bytes per second */
double contentBytesPerSecond(const Settings &settings)
{
    /** The link is shared with callers' packets, which must not wait behind large content. */
    constexpr double linkFraction = 0.1;
    constexpr double bytesPerMegabit = 125'000.0;
    return settings.linkMbps * linkFraction * bytesPerMegabit;
}

} // namespace

DirectoryTask::DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Callbacks callbacks,
                             CounterSet &counters, DirectoryMetrics &metrics, LogSink &logSink)
    : callbacks_(std::move(callbacks))
    , counters_(counters)
    , metrics_(metrics)
    , log_(logSink, settings.logLevel)
    , source_(makeSource(loop_))
    , watchers_{ DirectoryWatcher(ServicesWatchTime, std::random_device()()),
                 DirectoryWatcher(TargetsWatchTime, std::random_device()()) }
    , self_(settings.peers)
    , seeds_(settings.seeds)
    , random_(std::random_device()())
    , startedAt_(now())
    , nextRequestAt_(startedAt_ + FirstRequestDelay)
    , changeQueue_(contentBytesPerSecond(settings))
    , completeListQueue_(contentBytesPerSecond(settings))
    , zone_(zoneIdOf(settings.zone))
    , election_(settings.peers, rankOf(settings))
    , timer_(loop_, [this] { runDueWork(); })
    , pauseDetector_(loop_, PauseLimit, [this](Milliseconds) { onPaused(); })
    , mailbox_(loop_, [this](DirectoryTaskMessage &&message) { handle(std::move(message)); })
{
}

void DirectoryTask::start()
{
    metrics_.follows.set(following_ ? 1 : 0);
    timer_.armAt(now());
    pauseDetector_.start();
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
    runDueWork();
}

void DirectoryTask::runDueWork()
{
    const TimePoint time = now();
    publish(targets_.onTimer(time));
    const bool follows = election_.follows(time) && !leaving_;
    if (follows != following_) {
        following_ = follows;
        metrics_.follows.set(follows ? 1 : 0);
        log_.write(LogEvent::FollowingChanged, time, { { "follows", follows } });
    }
    for (DirectoryWatcher &watcher : watchers_) {
        watcher.setFollowing(follows, time);
    }
    if (follows) {
        sendBeacon(time);
    }
    requestFromPeers(time);
    sendQueued(changeQueue_, time);
    sendQueued(completeListQueue_, time);
    TimePoint next = std::min({ targets_.nextTimer(), election_.nextTimer(time), nextRequestAt_,
                                changeQueue_.nextTimer(), completeListQueue_.nextTimer() });
    for (const auto &[part, name] : EnumNames<DirectoryPart>::table) {
        if (const auto due = watcherOf(part).next(time)) {
            startStoreCall(part, *due);
        }
        next = std::min(next, watcherOf(part).nextTimer());
    }
    timer_.armAt(next);
}

void DirectoryTask::startStoreCall(DirectoryPart part, const DirectoryWatcher::DueCall &due)
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
    recordStoreResult(part, answer.error);
    recordRefusedEntries(part, answer.refused);
    if (watcherOf(part).onAnswer(number, answer, now())) {
        const std::uint64_t version = services_ ? services_->version : 0;
        const Revision before = targets_.revision();
        bool changed = answer.services && applyServices(answer.services);
        if (part == DirectoryPart::Targets) {
            std::vector<TargetId> unreadable;
            for (const RefusedEntry &entry : answer.refused) {
                if (entry.target) {
                    unreadable.push_back(*entry.target);
                }
            }
            const TargetUpdate update{ answer.revision, answer.complete, std::move(answer.targets) };
            changed = applyTargets(update, unreadable) || changed;
        }
        if (changed && following_ && version != 0 && before.value != 0) {
            queueContent(membersAndGateways(), version, before);
        }
    }
    runDueWork();
}

void DirectoryTask::recordStoreResult(DirectoryPart part, const std::optional<StoreError> &error)
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
        log_.write(LogEvent::StoreRecovered, now(), { { "part", nameOf(part) } });
    }
}

void DirectoryTask::recordRefusedEntries(DirectoryPart part, const std::vector<RefusedEntry> &entries)
{
    counters_.add(Counter::TargetEntriesRefused, entries.size());
    for (const RefusedEntry &entry : entries) {
        metrics_.refusedEntries.add(entry.reason);
        if (refusedEntryLog_.isDue(entry.name, now())) {
            log_.write(LogEvent::EntryRefused, now(),
                       { { "part", nameOf(part) },
                         { "name", entry.name },
                         { "reason", nameOf(entry.reason) },
                         { "field", entry.field } });
        }
    }
}

bool DirectoryTask::applyServices(const ServiceMapPtr &services)
{
    // The version never decreases while the process runs.
    if (services_ && services->version <= services_->version) {
        return false;
    }
    services_ = withKnownRoutes(services_, services);
    metrics_.servicesVersion.set(static_cast<std::int64_t>(services_->version));
    log_.write(LogEvent::ServicesChanged, now(),
               { { "version", static_cast<std::int64_t>(services_->version) },
                 { "routes", static_cast<std::int64_t>(services_->routes.size()) } });
    callbacks_.toPackets(ServicesChanged{ services_ });
    checkReady();
    return true;
}

bool DirectoryTask::applyTargets(const TargetUpdate &update, const std::vector<TargetId> &unreadable)
{
    const TargetUpdate applied = targets_.apply(update, now(), unreadable);
    publish(applied);
    metrics_.targets.set(static_cast<std::int64_t>(targets_.size()));
    checkReady();
    return !applied.changes.empty();
}

void DirectoryTask::checkReady()
{
    if (!ready_ && services_ && targets_.revision().value != 0) {
        ready_ = true;
        log_.write(LogEvent::Ready, now(),
                   { { "version", static_cast<std::int64_t>(services_->version) },
                     { "targets", static_cast<std::int64_t>(targets_.size()) } });
        callbacks_.ready();
    }
}

void DirectoryTask::publish(const TargetUpdate &update)
{
    if (update.changes.empty() && !update.complete) {
        return;
    }
    for (const TargetChange &change : update.changes) {
        log_.write(LogEvent::TargetEntryChanged, now(),
                   { { "target", static_cast<std::int64_t>(change.target.target.id.value) },
                     { "name", change.target.target.name },
                     { "listing", nameOf(change.listing) },
                     { "state", change.listing == ListingState::Gone ? "" : nameOf(change.target.target.state) },
                     { "revision", static_cast<std::int64_t>(change.revision.value) } });
    }
    callbacks_.toPackets(update);
}

void DirectoryTask::onPaused()
{
    log_.write(LogEvent::Paused, now(), {});
    for (DirectoryWatcher &watcher : watchers_) {
        watcher.restart(now());
    }
    runDueWork();
}

} // namespace poplarroad
