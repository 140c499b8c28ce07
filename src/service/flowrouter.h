#ifndef POPLARROAD_SERVICE_FLOWROUTER_H
#define POPLARROAD_SERVICE_FLOWROUTER_H

#include "base/metrics.h"
#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "service/openingadmission.h"
#include "service/packetflows.h"
#include "target/peerloads.h"
#include "target/targettable.h"
#include "zone/seededrandom.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Why a flow is reset. */
enum class ResetReason : std::uint8_t {
    RouteRemoved,
    TargetGone,
    TargetSilent,
    Overload,
    NoTarget,
};

template<>
struct EnumNames<ResetReason>
{
    static constexpr std::array table{
        EnumName<ResetReason>{ ResetReason::RouteRemoved, "route-removed" },
        EnumName<ResetReason>{ ResetReason::TargetGone, "target-gone" },
        EnumName<ResetReason>{ ResetReason::TargetSilent, "target-silent" },
        EnumName<ResetReason>{ ResetReason::Overload, "overload" },
        EnumName<ResetReason>{ ResetReason::NoTarget, "no-target" },
    };
};

/** Why a packet is dropped without an answer. */
enum class DropReason : std::uint8_t {
    UnknownRoute, ///< never declared, as far as this balancer knows
    UnknownTag, ///< the flow's target is not known here
    NoTarget, ///< no target can take the flow now
};

template<>
struct EnumNames<DropReason>
{
    static constexpr std::array table{
        EnumName<DropReason>{ DropReason::UnknownRoute, "unknown-route" },
        EnumName<DropReason>{ DropReason::UnknownTag, "unknown-tag" },
        EnumName<DropReason>{ DropReason::NoTarget, "no-target" },
    };
};

/** Send the packet on to a target. */
struct ForwardPacket
{
    const Target *target; ///< valid until the next change of the targets
    PacketTag tag;
};

/** End a flow at its caller. */
struct ResetFlow
{
    FlowKey flow;
    std::uint32_t sequence = 0; ///< what the caller last acknowledged
    ResetReason reason = ResetReason::TargetGone;
};

struct DropPacket
{
    DropReason reason;
};

using PacketDecision = std::variant<ForwardPacket, ResetFlow, DropPacket>;

/** A change of what the packets say of a target. */
struct LivenessChange
{
    TargetId target;
    TargetLiveness liveness = TargetLiveness::Answering;
    std::uint32_t retransmittingFlows = 0;
    std::uint32_t sinceProgressMs = 0;
};

/**
 * Decides where each packet of a caller goes.
 *
 * The tag in a packet names its target, so a flow stays there whichever balancer it passes. New flows go to the target
 * with the least work relative to its slots. No input or output; one task owns it.
 */
class FlowRouter
{
public:
    /**
     * @param zone the zone of this balancer, whose targets are preferred
     * @param seed for random choices between equal targets
     */
    FlowRouter(ZoneId zone, std::uint64_t seed);

    void setServices(ServiceMapPtr services);
    /** Takes changes of the target list; `complete`: the changes are the whole list. */
    void setTargets(const std::vector<TargetChange> &changes, bool complete, TimePoint now);
    PacketDecision onPacket(const Packet &packet, TimePoint now);
    /** Ends flows that cannot be answered and forgets idle ones; to be called at nextTimer(). */
    void onTimer(TimePoint now, std::vector<ResetFlow> &resets);
    TimePoint nextTimer() const
    {
        return nextTimer_;
    }
    /** @return what this balancer sees of the targets that its flows use */
    LoadReport report(TimePoint now) const;
    /** Takes what another balancer of the zone sees. */
    void onPeerReport(const HostAddress &peer, const LoadReport &report, TimePoint now);
    /** @return the judgements since the last call, oldest first */
    std::vector<LivenessChange> takeLivenessChanges()
    {
        return std::exchange(livenessChanges_, {});
    }
    const TargetTable &targets() const
    {
        return targets_;
    }
    /** @return from a request to the acknowledgement of its answer, as its caller's packets show; readable by any thread */
    const LatencyHistogram &answerTimes() const
    {
        return *answerTimes_;
    }
    std::size_t flows() const
    {
        return flows_.size();
    }

private:
    PacketDecision onUnknownRoute(const Packet &packet);
    PacketDecision onOpeningPacket(const Packet &packet, const ServiceRoute &route, TimePoint now);
    PacketDecision onFlowPacket(const Packet &packet, const ServiceRoute &route, TimePoint now);
    /** Reads from a packet of a known flow what its target did. */
    void observePacket(PacketFlow &flow, const Packet &packet, TimePoint now);
    /** Counts a packet that the caller sent again. */
    void observeRetransmission(const FlowKey &key, PacketFlow &flow, TimePoint now);
    /** Records what changed, and marks the flows of a target that has become silent for their end. */
    void recordLivenessChange(TargetIndex target, TargetLiveness before, TimePoint now);
    /** Ends the flows of targets that became silent or are gone. */
    void resetFlowsOfFailedTargets(std::vector<ResetFlow> &resets);
    ServiceId pickService(const ServiceRoute &route, const Packet &packet) const;
    /** @return the target for a new flow, or nothing when none takes one */
    std::optional<TargetIndex> chooseTarget(const ServiceRoute &route, const Packet &packet,
                                            std::optional<TargetIndex> avoid, TimePoint now);
    /**
     * A target that was found silent gets a single flow from time to time, which shows whether it answers again.
     *
     * @return such a target of the own zone whose trial is due, or nothing
     */
    std::optional<TargetIndex> chooseTrialTarget(const ServiceRoute &route, const std::vector<TargetIndex> &candidates,
                                                 std::optional<TargetIndex> avoid, TimePoint now);
    /** @return whether packets with the target's tag go to it: of two targets that share a tag one gets no flows */
    bool ownsTag(TargetIndex index) const;
    /** @return the part of their time that the flows of these targets wait for answers */
    double busyFraction(const std::vector<TargetIndex> &targets) const;
    /** @return the requests that wait at a target for each of its slots, those that run included */
    double requestsPerSlot(const TargetEntry &target, TimePoint now) const;
    /** @return the expected requests for each slot, with what counts against the target */
    double costOf(const TargetEntry &target, double busyFraction, TimePoint now) const;
    ForwardPacket forward(TargetIndex target) const;

    ZoneId zone_;
    SeededRandom random_;
    ServiceMapPtr services_;
    absl::flat_hash_set<HostAddress> removedRoutes_;
    TargetTable targets_;
    PacketFlows flows_;
    PeerLoads peerLoads_;
    absl::flat_hash_map<ServiceId, FlowAdmission> admissions_;
    std::vector<LivenessChange> livenessChanges_;
    std::unique_ptr<LatencyHistogram> answerTimes_; ///< at a fixed place, since other threads read it
    absl::flat_hash_set<TargetIndex> failedTargets_; ///< targets whose flows have to end
    TimePoint nextExpiry_;
    TimePoint nextTimer_;
};

} // namespace poplarroad

#endif
