#ifndef POPLARROAD_HOST_PACKETMETRICS_H
#define POPLARROAD_HOST_PACKETMETRICS_H

#include "base/metrics.h"
#include "link/directorysource.h"
#include "poplarroad/packet.h"
#include "service/flowrouter.h"

namespace poplarroad
{

/** What the task of the callers' packets measures beside its counters. */
struct PacketMetrics
{
    ReasonCounter<ResetReason> resets;
    ReasonCounter<DropReason> drops;
    ReasonCounter<PacketError> refused;
    LatencyHistogram timerDelays; ///< how late the task's timers ran
    Gauge flows; ///< that this balancer forwards
    std::array<Gauge, EnumNames<TargetLiveness>::table.size()> targets; ///< by belief
};

/** What the task of the directory measures beside its counters. */
struct DirectoryMetrics
{
    ReasonCounter<StoreError> storeErrors;
    LatencyHistogram storeCalls; ///< from a call to its answer, the wait of a watch included
    Gauge servicesVersion; ///< in force
    Gauge targets; ///< listed
    Gauge follows; ///< 1 while this balancer follows the store
};

/** Writes the metrics of a balancer for packets. */
inline void writeMetrics(MetricsWriter &text, const PacketMetrics &packets, const DirectoryMetrics &directory)
{
    text.counter("flow_resets", packets.resets);
    text.counter("packet_drops", packets.drops);
    text.counter("packet_refusals", packets.refused);
    text.histogram("timer_delay_seconds", packets.timerDelays);
    text.gauge("flows", packets.flows.value());
    text.gauge<TargetLiveness>("targets", "belief", packets.targets);
    text.counter("store_errors", directory.storeErrors);
    text.histogram("store_call_seconds", directory.storeCalls);
    text.gauge("services_version", directory.servicesVersion.value());
    text.gauge("targets_listed", directory.targets.value());
    text.gauge("follows_store", directory.follows.value());
}

} // namespace poplarroad

#endif
