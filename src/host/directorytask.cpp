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

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

DirectoryIdentity identityOf(const Settings &settings)
{
    /** The link is shared with callers' packets, which must not wait behind large content. */
    constexpr double linkFraction = 0.1;
    constexpr double bytesPerMegabit = 125'000.0;
    return { settings.peers,
             zoneIdOf(settings.zone),
             settings.rank(),
             settings.seeds,
             settings.linkMbps * linkFraction * bytesPerMegabit,
             settings.evacuationTime.has_value() };
}

} // namespace

DirectoryTask::DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Callbacks callbacks,
                             CounterSet &counters, DirectoryMetrics &metrics, LogSink &logSink)
    : callbacks_(std::move(callbacks))
    , counters_(counters)
    , metrics_(metrics)
    , log_(logSink, settings.logLevel)
    , source_(makeSource(loop_))
    , sync_(identityOf(settings), std::random_device()(), now())
    , timer_(loop_, [this] { onTimer(); })
    , pauseDetector_(loop_, PauseLimit, [this](Milliseconds) { onPaused(); })
    , mailbox_(loop_, [this](DirectoryTaskMessage &&message) { handle(std::move(message)); })
{
    storeReachable_.fill(true);
    zoneNames_[zoneIdOf(settings.zone)] = settings.zone;
    for (const std::string &zone : settings.zoneNames) {
        zoneNames_[zoneIdOf(zone)] = zone;
    }
}

void DirectoryTask::start()
{
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
    DirectoryActions actions;
    std::visit(Visitor{
                   [&](FleetViewChanged &changed) { sync_.setView(std::move(changed.view)); },
                   [&](const FleetMessageReceived &received) {
                       sync_.onMessage(received.from, received.zone, received.message, now(), actions);
                   },
                   [&](const BeginLeave &) { sync_.beginLeave(now(), actions); },
                   [&](const StopTask &) { loop_.stop(); },
               },
               message);
    execute(std::move(actions));
}

void DirectoryTask::onTimer()
{
    DirectoryActions actions;
    sync_.onTimer(now(), actions);
    execute(std::move(actions));
}

void DirectoryTask::execute(DirectoryActions &&actions)
{
    for (DirectoryAction &action : actions) {
        std::visit(Visitor{
                       [&](SendFleetMessage &send) { callbacks_.toPeers(std::move(send)); },
                       [&](AddPeers &peers) {
                           callbacks_.addPeers({ std::move(peers.hosts), {} });
                       },
                       [&](auto &each) { perform(std::move(each)); },
                   },
                   action);
    }
    recordEra();
    timer_.armAt(sync_.nextTimer());
}

void DirectoryTask::recordEra()
{
    metrics_.targetsWithheld.set(static_cast<std::int64_t>(sync_.targets().withheldCount()));
    const Revision revision = sync_.targets().revision();
    if (eraOf(revision) == era_) {
        return;
    }
    era_ = eraOf(revision);
    metrics_.era.set(era_);
    log_.write(LogEvent::EraChanged, now(),
               { { "era", static_cast<std::int64_t>(era_) },
                 { "revision", static_cast<std::int64_t>(numberOf(revision)) },
                 { "withheld", static_cast<std::int64_t>(sync_.targets().withheldCount()) } });
}

void DirectoryTask::perform(CallStore &&call)
{
    counters_.add(Counter::StoreCalls);
    metrics_.storeCallReasons.add(call.due.reason);
    const DirectoryPart part = call.part;
    const auto callback = [this, part, number = call.due.number, calledAt = now()](DirectoryResult answer) {
        metrics_.storeCalls.add(now() - calledAt);
        onAnswer(part, number, std::move(answer));
    };
    std::visit(Visitor{
                   [&](const ReadPart &read) {
                       log_.write(LogEvent::StoreRead, now(),
                                  { { "part", nameOf(part) }, { "reason", nameOf(call.due.reason) } });
                       source_->read(part, read.freshness, callback);
                   },
                   [&](const WatchPart &watch) { source_->watch(part, watch.after, watch.wait, callback); },
               },
               call.due.call);
}

void DirectoryTask::onAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer)
{
    recordStoreResult(part, answer.error);
    recordRefusedEntries(part, answer.refused);
    rememberZones(answer.evacuations);
    recordRefusedEra(answer.refusedEra);
    if (answer.truncated) {
        counters_.add(Counter::ListsTruncated);
        log_.write(LogEvent::ListTruncated, now(),
                   { { "part", nameOf(part) },
                     { "entries", static_cast<std::int64_t>(answer.targets.size()) },
                     { "refused", static_cast<std::int64_t>(answer.refused.size()) } });
    }
    recordListAge(part, answer);
    DirectoryActions actions;
    sync_.onStoreAnswer(part, number, std::move(answer), now(), actions);
    execute(std::move(actions));
}

void DirectoryTask::recordStoreResult(DirectoryPart part, const std::optional<StoreError> &error)
{
    if (error) {
        counters_.add(Counter::StoreFailures);
        metrics_.storeErrors.add(*error);
    }
    bool &reachable = storeReachable_[static_cast<std::size_t>(part)];
    if (reachable == !error) {
        return;
    }
    reachable = !error;
    if (error) {
        log_.write(LogEvent::StoreLost, now(), { { "part", nameOf(part) }, { "reason", nameOf(*error) } });
    } else {
        log_.write(LogEvent::StoreRecovered, now(), { { "part", nameOf(part) } });
    }
}

void DirectoryTask::recordListAge(DirectoryPart part, const DirectoryResult &list)
{
    Revision newest = list.revision;
    for (const ListSegment &segment : list.segments) {
        newest = std::max(newest, segment.revision);
    }
    if (newest > list.revision) {
        log_.write(LogEvent::ListMixed, now(),
                   { { "part", nameOf(part) },
                     { "pages", static_cast<std::int64_t>(list.segments.size()) },
                     { "oldest_revision", static_cast<std::int64_t>(numberOf(list.revision)) },
                     { "newest_revision", static_cast<std::int64_t>(numberOf(newest)) } });
    }
}

void DirectoryTask::recordRefusedEra(const std::optional<std::string> &value)
{
    if (!value) {
        return;
    }
    counters_.add(Counter::ErasRefused);
    if (refusedEraLog_.isDue(*value, now())) {
        log_.write(LogEvent::EraRefused, now(), { { "value", *value }, { "accepted", "0 to 65535" } });
    }
}

void DirectoryTask::recordRefusedEntries(DirectoryPart part, const std::vector<RefusedEntry> &entries)
{
    counters_.add(Counter::TargetEntriesRefused, entries.size());
    for (const RefusedEntry &entry : entries) {
        metrics_.refusedEntries.add(entry.reason);
        if (!refusedEntryLog_.isDue(entry.name, now())) {
            continue;
        }
        if (entry.accepted.empty()) {
            log_.write(LogEvent::EntryRefused, now(),
                       { { "part", nameOf(part) },
                         { "name", entry.name },
                         { "reason", nameOf(entry.reason) },
                         { "field", entry.field } });
        } else {
            log_.write(LogEvent::EntryRefused, now(),
                       { { "part", nameOf(part) },
                         { "name", entry.name },
                         { "reason", nameOf(entry.reason) },
                         { "field", entry.field },
                         { "value", entry.value },
                         { "accepted", entry.accepted } });
        }
    }
}

void DirectoryTask::rememberZones(const std::vector<EvacuationChange> &changes)
{
    for (const EvacuationChange &change : changes) {
        zoneNames_.try_emplace(change.zone, change.name);
    }
}

void DirectoryTask::perform(PublishServices &&published)
{
    const ServiceMap &services = *published.services;
    metrics_.servicesVersion.set(static_cast<std::int64_t>(services.version));
    log_.write(LogEvent::ServicesChanged, now(),
               { { "version", static_cast<std::int64_t>(services.version) },
                 { "routes", static_cast<std::int64_t>(services.routes.size()) } });
    callbacks_.toPackets(ServicesChanged{ std::move(published.services) });
}

void DirectoryTask::perform(PublishTargets &&published)
{
    // The first complete list is not logged entry by entry; `ready` tells how many there are.
    const bool logsEntries = !published.update.complete;
    for (const TargetChange &change : logsEntries ? published.update.changes : std::vector<TargetChange>()) {
        log_.write(LogEvent::TargetEntryChanged, now(),
                   { { "target", static_cast<std::int64_t>(change.target.target.number) },
                     { "name", change.target.target.name },
                     { "listing", nameOf(change.listing) },
                     { "state", change.listing == ListingState::Gone ? "" : nameOf(change.target.target.state) },
                     { "era", static_cast<std::int64_t>(eraOf(change.revision)) },
                     { "revision", static_cast<std::int64_t>(numberOf(change.revision)) } });
    }
    metrics_.targets.set(static_cast<std::int64_t>(sync_.targets().size()));
    callbacks_.toPackets(std::move(published.update));
}

void DirectoryTask::perform(PublishEvacuations &&published)
{
    for (const ZoneChange &change : published.changes) {
        const auto known = zoneNames_.find(change.zone);
        const std::string zone = known == zoneNames_.end() ? std::to_string(change.zone.value) : known->second;
        log_.write(LogEvent::ZoneEvacuated, now(),
                   { { "zone", zone },
                     { "evacuated", change.evacuated },
                     { "revision", static_cast<std::int64_t>(published.evacuations.revision.value) },
                     { "source", nameOf(published.source) } });
    }
    metrics_.evacuatedZones.set(static_cast<std::int64_t>(published.evacuations.zones.size()));
    callbacks_.toPackets(std::move(published.evacuations));
}

void DirectoryTask::perform(const ListDiffers &difference)
{
    counters_.add(Counter::ListsDiffered);
    log_.write(LogEvent::ListDiffers, now(),
               { { "follower", toString(difference.follower) },
                 { "own_revision", static_cast<std::int64_t>(numberOf(difference.own)) },
                 { "follower_revision", static_cast<std::int64_t>(numberOf(difference.followers)) } });
}

void DirectoryTask::perform(const FollowingChange &change)
{
    metrics_.follows.set(change.follows ? 1 : 0);
    log_.write(LogEvent::FollowingChanged, now(),
               { { "follows", change.follows },
                 { "position", static_cast<std::int64_t>(change.position) },
                 { "contact_age_ms", change.contactAge ? change.contactAge->count() : -1 } });
}

void DirectoryTask::perform(const DirectoryReady &ready)
{
    log_.write(LogEvent::Ready, now(),
               { { "version", static_cast<std::int64_t>(sync_.services()->version) },
                 { "targets", static_cast<std::int64_t>(sync_.targets().size()) },
                 { "confirmed", ready.confirmed } });
    callbacks_.ready();
}

void DirectoryTask::onPaused()
{
    log_.write(LogEvent::Paused, now(), {});
    DirectoryActions actions;
    sync_.onPaused(now(), actions);
    execute(std::move(actions));
}

} // namespace poplarroad
