#include "host/packettask.h"

#include "poplarroad/visitor.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace poplarroad
{

namespace
{

/** Interval of the load reports to the zone. A target that stops answering has to be detected within some 100 ms. */
constexpr Milliseconds ReportPeriod{ 150 };
/** Balancers that get each report; limits the traffic in a large zone. */
constexpr std::size_t ReportFanout = 4;
/** Exceeds the timer delays of a small machine; callers' packets that waited longer were retransmitted meanwhile. */
constexpr Milliseconds PauseLimit{ 700 };
/**
 * While the services and targets are not known yet, callers' packets wait in the socket for at most this time. Callers
 * retransmit after 200 ms to 1.6 s, so a packet that is dropped costs its caller more than one that waits.
 */
constexpr Milliseconds MaxStartHold{ 1000 };
/** Interval of the traffic summaries, which show operators which balancer had the traffic. */
constexpr std::chrono::seconds SummaryPeriod{ 5 };
/** The placement of one in this many flows is logged. */
constexpr std::uint64_t PlacementSampling = 16;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

PacketTask::PacketTask(const Settings &settings, std::unique_ptr<PacketCodec> codec,
                       std::function<void(SendFleetMessage)> toPeers, CounterSet &counters, PacketMetrics &metrics,
                       LogSink &logSink)
    : callerPort_(settings.callers.port)
    , codec_(std::move(codec))
    , toPeers_(std::move(toPeers))
    , counters_(counters)
    , metrics_(metrics)
    , log_(logSink, settings.logLevel)
    , router_(zoneIdOf(settings.zone), std::random_device()(), settings.admission)
    , self_(settings.peers)
    , random_(std::random_device()())
    , reportTimer_(loop_, [this] { sendReport(); })
    , socket_(loop_, settings.callers, [this](const HostAddress &, std::string_view datagram) { onDatagram(datagram); })
    , timer_(loop_,
             [this] {
                 metrics_.timerDelays.add(now() - timerDue_);
                 onTimer();
             })
    , startHold_(loop_, [this] { startReading(); })
    , awaitsEvacuations_(settings.evacuationTime.has_value())
    , pauseDetector_(loop_, PauseLimit, [this](Milliseconds) { router_.onPaused(now()); })
    , mailbox_(loop_, [this](PacketTaskMessage &&message) { handle(std::move(message)); })
{
    if (settings.warmupOverage && settings.warmupSlack) {
        router_.setWarmupBounds({ *settings.warmupOverage, *settings.warmupSlack });
    }
    if (settings.compareTargets) {
        router_.enableComparison();
    }
}

void PacketTask::start()
{
    armTimer();
    socket_.stopReading();
    startHold_.armAfter(MaxStartHold);
    pauseDetector_.start();
    reportTimer_.armAfter(ReportPeriod);
    thread_.start(loop_, "packets");
}

void PacketTask::post(PacketTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void PacketTask::join()
{
    thread_.join();
}

void PacketTask::handle(PacketTaskMessage &&message)
{
    pauseDetector_.check();
    std::visit(Visitor{
                   [&](ServicesChanged &changed) { router_.setServices(std::move(changed.services)); },
                   [&](const TargetUpdate &update) {
                       router_.setTargets(update.changes, update.complete, now());
                       armTimer();
                   },
                   [&](ZoneEvacuations &evacuations) {
                       awaitsEvacuations_ = false;
                       router_.setEvacuatedZones(std::move(evacuations.zones), now());
                   },
                   [&](FleetViewChanged &changed) {
                       view_ = std::move(changed.view);
                       router_.setView(view_, now());
                   },
                   [&](const FleetMessageReceived &received) {
                       if (const auto *report = std::get_if<LoadReport>(&received.message)) {
                           router_.onPeerReport(received.from, *report, now());
                           logTargetChanges(now());
                           armTimer();
                       }
                   },
                   [&](const StopTask &) { loop_.stop(); },
               },
               message);
    if (!reading_ && router_.knowsDirectory() && !awaitsEvacuations_) {
        startReading();
    }
}

void PacketTask::startReading()
{
    startHold_.armAt(TimePoint::max());
    if (!reading_) {
        reading_ = true;
        socket_.startReading();
    }
}

void PacketTask::onDatagram(std::string_view datagram)
{
    const auto packet = codec_->decode(datagram);
    if (!packet) {
        counters_.add(Counter::PacketsRefused);
        metrics_.refused.add(*codec_->lastError());
        return;
    }
    const TimePoint time = now();
    pauseDetector_.check(time);
    const PacketDecision decision = router_.onPacket(*packet, time);
    std::visit(Visitor{
                   [&](const ForwardPacket &forward) {
                       counters_.add(Counter::PacketsForwarded);
                       if (packet->opens) {
                           logPlacement(*packet, forward, time);
                       }
                       const PacketHeader header = codec_->headerFor(*forward.target, forward.tag, datagram);
                       socket_.forward(forward.target->address, header.view(), datagram.substr(header.replacedBytes));
                   },
                   [&](const ResetFlow &flow) { sendReset(flow); },
                   [&](const DropPacket &drop) {
                       counters_.add(Counter::PacketsDropped);
                       metrics_.drops.add(drop.reason);
                       if (drop.reason == DropReason::Deferred) {
                           metrics_.admissionRefusals.add(AdmissionRefusal::Deferred);
                       }
                       logDrop(*packet, drop.reason, time);
                   },
               },
               decision);
    logTargetChanges(time);
    logPressureChanges(time);
    if (router_.nextTimer() <= time) {
        onTimer();
    }
}

void PacketTask::sendReset(const ResetFlow &reset)
{
    counters_.add(Counter::FlowsReset);
    metrics_.resets.add(reset.reason);
    if (reset.refusal) {
        metrics_.admissionRefusals.add(*reset.refusal);
    }
    log_.write(LogEvent::FlowReset, now(),
               { { "caller", toString(reset.flow.caller) },
                 { "service", toString(reset.flow.service) },
                 { "reason", nameOf(reset.reason) } });
    socket_.send({ reset.flow.caller.ip, callerPort_ }, codec_->encodeReset(reset.flow, reset.sequence));
}

void PacketTask::logPlacement(const Packet &packet, const ForwardPacket &forward, TimePoint time)
{
    // Sampled by the hash of the flow, so that all balancers log the same flows.
    if (packet.flow.hash() % PlacementSampling != 0) {
        return;
    }
    const TargetEntry &target = router_.targets().at(*router_.targets().find(forward.target->id));
    log_.write(LogEvent::FlowPlaced, time,
               { { "caller", toString(packet.flow.caller) },
                 { "service", toString(packet.flow.service) },
                 { "target", static_cast<std::int64_t>(forward.target->number) },
                 { "copy", packet.acknowledged },
                 { "busy", target.busyFlows },
                 { "busy_elsewhere", target.peerBusyFlows },
                 { "flows", target.flows },
                 { "belief", nameOf(target.detector.liveness()) } });
}

void PacketTask::logDrop(const Packet &packet, DropReason reason, TimePoint time)
{
    log_.write(LogEvent::PacketDropped, time,
               { { "caller", toString(packet.flow.caller) },
                 { "service", toString(packet.flow.service) },
                 { "tag", packet.tag.value },
                 { "opens", packet.opens },
                 { "reason", nameOf(reason) } });
}

std::int64_t PacketTask::numberOf(TargetId target) const
{
    const auto index = router_.targets().find(target);
    return index ? static_cast<std::int64_t>(router_.targets().at(*index).listed.target.number) : 0;
}

void PacketTask::logTargetChanges(TimePoint time)
{
    logLivenessChanges(time);
    logComparisonChanges(time);
    logReachabilityChanges(time);
}

void PacketTask::logComparisonChanges(TimePoint time)
{
    constexpr double percent = 100.0;
    for (const ComparisonChange &change : router_.watch().takeComparisonChanges()) {
        metrics_.comparisons.add(change.standing);
        log_.write(LogEvent::TargetCompared, time,
                   { { "target", numberOf(change.target) },
                     { "standing", nameOf(change.standing) },
                     { "ratio_percent", std::llround(change.ratio * percent) },
                     { "short_percent", std::llround(change.shortShare * percent) },
                     { "samples", std::llround(change.samples) } });
    }
}

void PacketTask::logReachabilityChanges(TimePoint time)
{
    for (const ReachabilityChange &change : router_.watch().takeReachabilityChanges()) {
        metrics_.reachabilityChanges.add(change.reachability);
        log_.write(LogEvent::ZoneReachabilityChanged, time,
                   { { "zone", static_cast<std::int64_t>(change.zone.value) },
                     { "reachability", nameOf(change.reachability) },
                     { "target", numberOf(change.target) },
                     { "silent", change.silentTargets },
                     { "in_use", change.targetsInUse },
                     { "unanswered", change.unansweredTargets } });
    }
}

void PacketTask::logLivenessChanges(TimePoint time)
{
    for (const LivenessChange &change : router_.takeLivenessChanges()) {
        log_.write(LogEvent::TargetLivenessChanged, time,
                   { { "target", numberOf(change.target) },
                     { "belief", nameOf(change.liveness) },
                     { "repeating", change.retransmittingFlows },
                     { "since_progress_ms", change.sinceProgressMs } });
    }
}

void PacketTask::logPressureChanges(TimePoint time)
{
    constexpr double percent = 100.0;
    for (const PressureChange &change : router_.takePressureChanges()) {
        log_.write(LogEvent::PressureChanged, time,
                   { { "service", static_cast<std::int64_t>(change.service.value) },
                     { "pressure", nameOf(change.pressure) },
                     { "requests_per_100_slots", static_cast<std::int64_t>(percent * change.requestsPerSlot) } });
    }
}

void PacketTask::onTimer()
{
    std::vector<ResetFlow> resets;
    router_.onTimer(now(), resets);
    for (const ResetFlow &flow : resets) {
        sendReset(flow);
    }
    logTargetChanges(now());
    logSummary(now());
    reportWarmups(now());
    updateGauges();
    armTimer();
}

void PacketTask::reportWarmups(TimePoint time)
{
    const WarmupCounts counts = router_.takeWarmupCounts();
    counters_.add(Counter::WarmupPlacements, counts.placements);
    counters_.add(Counter::WarmupDeferred, counts.deferred);
    const std::size_t owned = router_.ownedColdTargets(time);
    if (owned != ownedColdTargets_) {
        log_.write(LogEvent::ColdTargetsOwned, time,
                   { { "targets", static_cast<std::int64_t>(owned) },
                     { "before", static_cast<std::int64_t>(ownedColdTargets_) } });
        ownedColdTargets_ = owned;
    }
}

void PacketTask::armTimer()
{
    timerDue_ = std::max(router_.nextTimer(), now());
    timer_.armAt(timerDue_);
}

void PacketTask::updateGauges()
{
    metrics_.flows.set(static_cast<std::int64_t>(router_.flows()));
    metrics_.sharedTags.set(static_cast<std::int64_t>(router_.targets().sharedTags()));
    std::array<std::int64_t, EnumNames<TargetLiveness>::table.size()> targets{};
    std::array<std::int64_t, EnumNames<TargetStanding>::table.size()> standings{};
    for (const auto &[id, index] : router_.targets().byId()) {
        const TargetEntry &target = router_.targets().at(index);
        standings[static_cast<std::size_t>(target.evidence.standing)] += target.listing == ListingState::Gone ? 0 : 1;
        targets[static_cast<std::size_t>(target.detector.liveness())] += target.listing == ListingState::Gone ? 0 : 1;
    }
    metrics_.slowTargets.set(standings[static_cast<std::size_t>(TargetStanding::Slow)]);
    metrics_.sheddingTargets.set(standings[static_cast<std::size_t>(TargetStanding::Shedding)]);
    metrics_.unreachableZones.set(static_cast<std::int64_t>(router_.watch().unreachableZones()));
    for (std::size_t liveness = 0; liveness < targets.size(); ++liveness) {
        metrics_.targets[liveness].set(targets[liveness]);
    }
}

void PacketTask::logSummary(TimePoint time)
{
    const std::uint64_t forwarded = counters_.value(Counter::PacketsForwarded);
    if (time < nextSummary_ || forwarded == summarizedPackets_) {
        return;
    }
    nextSummary_ = time + SummaryPeriod;
    log_.write(LogEvent::TrafficSummary, time,
               { { "packets", static_cast<std::int64_t>(forwarded - summarizedPackets_) },
                 { "flows", static_cast<std::int64_t>(router_.flows()) },
                 { "dropped_total", static_cast<std::int64_t>(counters_.value(Counter::PacketsDropped)) },
                 { "reset_total", static_cast<std::int64_t>(counters_.value(Counter::FlowsReset)) } });
    summarizedPackets_ = forwarded;
}

void PacketTask::sendReport()
{
    reportTimer_.armAfter(ReportPeriod);
    std::vector<HostAddress> hosts;
    for (const HostRecord &host : view_ ? view_->hosts : std::vector<HostRecord>()) {
        if (host.address != self_ && FleetView::acceptsNewWork(host)) {
            hosts.push_back(host.address);
        }
    }
    LoadReport report = router_.report(now());
    if (hosts.empty() || report.loads.empty()) {
        return;
    }
    if (hosts.size() > ReportFanout) {
        random_.shuffle(hosts);
        hosts.resize(ReportFanout);
    }
    toPeers_({ std::move(hosts), std::move(report) });
}

} // namespace poplarroad
