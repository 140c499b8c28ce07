#ifndef POPLARROAD_TARGET_PEERLOADS_H
#define POPLARROAD_TARGET_PEERLOADS_H

#include "poplarroad/fleetmessages.h"
#include "target/targettable.h"

#include <absl/container/flat_hash_map.h>

namespace poplarroad
{

/** The work at each target that other balancers of the zone reported, summed up in the table of targets. */
class PeerLoads
{
public:
    /** A report older than this is forgotten: its sender is gone, or its zone is large and others stand for it. */
    static constexpr Milliseconds MaxReportAge{ 1500 };

    void onReport(const HostAddress &peer, const LoadReport &report, TimePoint now, TargetTable &targets);
    void expire(TimePoint now, TargetTable &targets);

private:
    struct PeerReport
    {
        TimePoint at;
        std::vector<TargetLoad> loads;
    };

    static void addToTargets(const PeerReport &peerReport, int sign, TargetTable &targets);

    absl::flat_hash_map<HostAddress, PeerReport> peers_;
};

} // namespace poplarroad

#endif
