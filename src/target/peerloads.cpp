#include "target/peerloads.h"

#include <algorithm>

namespace poplarroad
{

void PeerLoads::take(const HostAddress &peer, const LoadReport &report, TimePoint now, TargetTable &targets)
{
    Entry &entry = peers_[peer];
    count(entry, -1, targets);
    entry = { now, report.loads };
    count(entry, 1, targets);
}

void PeerLoads::expire(TimePoint now, TargetTable &targets)
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        if (now - peer->second.at > ReportAge) {
            count(peer->second, -1, targets);
            peers_.erase(peer++);
        } else {
            ++peer;
        }
    }
}

void PeerLoads::count(const Entry &entry, int sign, TargetTable &targets)
{
    for (const TargetLoad &load : entry.loads) {
        if (const auto index = targets.find(load.target)) {
            TargetEntry &target = targets.at(*index);
            // A target that was listed after the report was counted starts at 0.
            target.elsewhere = static_cast<std::uint32_t>(
                std::max(0, static_cast<int>(target.elsewhere) + sign * static_cast<int>(load.flows)));
            target.busyElsewhere = static_cast<std::uint32_t>(
                std::max(0, static_cast<int>(target.busyElsewhere) + sign * static_cast<int>(load.busy)));
        }
    }
}

} // namespace poplarroad
