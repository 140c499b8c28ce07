#include "target/peerloads.h"

#include <algorithm>

namespace poplarroad
{

void PeerLoads::onReport(const HostAddress &peer, const LoadReport &report, TimePoint now, TargetTable &targets)
{
    PeerReport &peerReport = peers_[peer];
    addToTargets(peerReport, -1, targets);
    peerReport = { now, report.loads };
    addToTargets(peerReport, 1, targets);
}

void PeerLoads::expire(TimePoint now, TargetTable &targets)
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (now - peer->second.receivedAt > MaxReportAge) {
            addToTargets(peer->second, -1, targets);
            peers_.erase(peer++);
        } else {
            ++peer;
        }
    }
}

void PeerLoads::addToTargets(const PeerReport &peerReport, int sign, TargetTable &targets)
{
    for (const TargetLoad &load : peerReport.loads) {
        if (const auto index = targets.find(load.target)) {
            TargetEntry &target = targets.at(*index);
            // A target that was added after the report was counted starts at 0, so subtracting could go below it.
            target.peerFlows = static_cast<std::uint32_t>(
                std::max(0, static_cast<int>(target.peerFlows) + sign * static_cast<int>(load.flows)));
            target.peerBusyFlows = static_cast<std::uint32_t>(
                std::max(0, static_cast<int>(target.peerBusyFlows) + sign * static_cast<int>(load.busy)));
        }
    }
}

} // namespace poplarroad
