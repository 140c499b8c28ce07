#ifndef POPLARROAD_HOST_PACKETMETRICS_H
#define POPLARROAD_HOST_PACKETMETRICS_H

#include "base/metrics.h"
#include "link/directorysource.h"
#include "poplarroad/packet.h"
#include "service/directorywatcher.h"
#include "service/flowrouter.h"

namespace poplarroad
{

/** Metrics of the packet task besides its counters. */
struct PacketMetrics
{
    ReasonCounter<ResetReason> resets;
    ReasonCounter<DropReason> drops;
    ReasonCounter<AdmissionRefusal> admissionRefusals;
    ReasonCounter<PacketError> refused;
    LatencyHistogram timerDelays; ///< delay of the task's timer after its deadline
    ReasonCounter<TargetStanding> comparisons; ///< changes of targets' standings, by the new one
    ReasonCounter<Reachability> reachabilityChanges; ///< changes of zones' reachability, by the new one
    Gauge slowTargets; ///< number of targets that count as slow
    Gauge sheddingTargets; ///< number of targets that count as shedding
    Gauge unreachableZones; ///< number of other zones that count as unreachable
    Gauge flows; ///< number of flows that this balancer forwards
    Gauge sharedTags; ///< number of tags that several targets have
    std::array<Gauge, EnumNames<TargetLiveness>::table.size()> targets; ///< number of targets by liveness
};

/** Metrics of the directory task besides its counters. */
struct DirectoryMetrics
{
    ReasonCounter<StoreError> storeErrors;
    ReasonCounter<StoreCallReason> storeCallReasons; ///< calls made; a read of a long list counts once
    ReasonCounter<EntryError> refusedEntries; ///< entries of the store that were not used, each time they were read
    LatencyHistogram storeCalls; ///< from call to answer, including the wait of a watch
    Gauge servicesVersion; ///< current version
    Gauge targets; ///< number of entries in the target list
    Gauge evacuatedZones; ///< number of zones whose targets accept no new flows
    Gauge follows; ///< 1 while this balancer follows the store
    Gauge era; ///< era of the target list
    Gauge targetsWithheld; ///< listed targets that are not used, since they left before the era
};

/** Writes the metrics of a packet front end. */
inline void writeMetrics(MetricsWriter &writer, const PacketMetrics &packets, const DirectoryMetrics &directory)
{
    writer.counter("flow_resets", packets.resets);
    writer.counter("packet_drops", packets.drops);
    writer.counter("admission_refusals", packets.admissionRefusals);
    writer.counter("packet_refusals", packets.refused);
    writer.histogram("timer_delay_seconds", packets.timerDelays);
    writer.counter("target_comparisons", packets.comparisons);
    writer.counter("zone_reachability_changes", packets.reachabilityChanges);
    writer.gauge("targets_slow", packets.slowTargets.value());
    writer.gauge("targets_shedding", packets.sheddingTargets.value());
    writer.gauge("zones_unreachable", packets.unreachableZones.value());
    writer.gauge("flows", packets.flows.value());
    writer.gauge("shared_tags", packets.sharedTags.value());
    writer.gauge<TargetLiveness>("targets", "belief", packets.targets);
    writer.counter("store_errors", directory.storeErrors);
    writer.counter("store_calls_by_reason", directory.storeCallReasons);
    writer.counter("entries_refused", directory.refusedEntries);
    writer.histogram("store_call_seconds", directory.storeCalls);
    writer.gauge("services_version", directory.servicesVersion.value());
    writer.gauge("targets_listed", directory.targets.value());
    writer.gauge("evacuated_zones", directory.evacuatedZones.value());
    writer.gauge("follows_store", directory.follows.value());
    writer.gauge("store_era", directory.era.value());
    writer.gauge("targets_withheld", directory.targetsWithheld.value());
}

} // namespace poplarroad

#endif
