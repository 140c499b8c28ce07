#ifndef POPLARROAD_TARGET_PEERLOADS_H
#define POPLARROAD_TARGET_PEERLOADS_H

#include "poplarroad/fleetmessages.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

namespace poplarroad
{

/** Keeps the latest load report of each other balancer of the zone and the sums per target in a TargetTable. */
class PeerLoads
{
public:
    /**
     * Older reports are discarded. Either the sender is gone, or the zone is large: each balancer then reports to a
     * random part of the others, and the more recent reports of some represent the rest.
     */
    static constexpr Milliseconds MaxReportAge{ 1500 };

    /** Replaces the previous report of the peer. */
    void onReport(const HostAddress &peer, const LoadReport &report, TimePoint now, TargetTable &targets);
    /** Discards reports older than MaxReportAge. */
    void expire(TimePoint now, TargetTable &targets);

private:
    struct PeerReport
    {
        TimePoint receivedAt;
        std::vector<TargetLoad> loads;
    };

    /** Adds the loads of a report to the targets. @param sign -1 subtracts them again */
    static void addToTargets(const PeerReport &peerReport, int sign, TargetTable &targets);

    absl::flat_hash_map<HostAddress, PeerReport> peers_;
};

} // namespace poplarroad

#endif
