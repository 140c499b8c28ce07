#ifndef POPLARROAD_SERVICE_FLOWROUTER_H
#define POPLARROAD_SERVICE_FLOWROUTER_H

#include "base/metrics.h"
#include "poplarroad/directory.h"
#include "poplarroad/packet.h"
#include "service/packetflows.h"
#include "service/serviceadmission.h"
#include "target/evacuatedtargets.h"
#include "target/peerloads.h"
#include "target/targettable.h"
#include "target/targetwatch.h"
#include "target/warmuplimiter.h"
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
    ZoneEvacuated, ///< all targets that could accept the flow are in evacuated zones
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
        EnumName<ResetReason>{ ResetReason::ZoneEvacuated, "zone-evacuated" },
    };
};

/** Why a packet is dropped without an answer. */
enum class DropReason : std::uint8_t {
    UnknownRoute, ///< this balancer never knew a route for the address
    UnknownTag, ///< no known target has the tag
    NoTarget, ///< no target can accept the flow now
    Deferred, ///< a new flow that the next copy of its opening packet may open; see AdmissionRefusal::Deferred
};

template<>
struct EnumNames<DropReason>
{
    static constexpr std::array table{
        EnumName<DropReason>{ DropReason::UnknownRoute, "unknown-route" },
        EnumName<DropReason>{ DropReason::UnknownTag, "unknown-tag" },
        EnumName<DropReason>{ DropReason::NoTarget, "no-target" },
        EnumName<DropReason>{ DropReason::Deferred, "deferred" },
    };
};

/** Forward the packet to a target. */
struct ForwardPacket
{
    const Target *target; ///< valid until the next change of the targets
    PacketTag tag;
};

/** Send a reset to the caller of a flow. */
struct ResetFlow
{
    FlowKey flow;
    std::uint32_t sequence = 0; ///< last acknowledgement number of the caller
    ResetReason reason = ResetReason::TargetGone;
    std::optional<AdmissionRefusal> refusal{}; ///< with ResetReason::Overload, why the flow was not admitted
};

/** Drop the packet without an answer. */
struct DropPacket
{
    DropReason reason;
};

using PacketDecision = std::variant<ForwardPacket, ResetFlow, DropPacket>;

/** A change of a target's liveness, with the observations that led to it. */
struct LivenessChange
{
    TargetId target;
    TargetLiveness liveness = TargetLiveness::Answering;
    std::uint32_t retransmittingFlows = 0;
    std::uint32_t sinceProgressMs = 0;
};

/**
 * Decides for each packet of a caller whether it is forwarded, to which target, or dropped or answered with a reset.
 *
 * The tag in a packet names its target, so a flow keeps its target whichever balancer forwards its packets. New flows
 * go to the target with the least work relative to its slots. Does no I/O; owned by one task.
 */
class FlowRouter
{
public:
    /**
     * @param zone the zone of this balancer, whose targets are preferred
     * @param seed for random choices between equal targets
     */
    FlowRouter(ZoneId zone, std::uint64_t seed, AdmissionPolicy admission = AdmissionPolicy::LatencyGoal);

    /** Enables the comparison of targets with each other and the detection of unreachable zones; off at first. */
    void enableComparison()
    {
        watch_.enable();
    }
    void setServices(ServiceMapPtr services);
    /** Applies changes of the target list; `complete` means that the changes are the whole list. */
    void setTargets(const std::vector<TargetChange> &changes, bool complete, TimePoint now);
    /**
     * Sets the zones whose targets accept no new flows; open flows stay. Those of a zone that returns count as cold.
     *
     * @param zones replace the earlier ones
     */
    void setEvacuatedZones(std::vector<ZoneId> zones, TimePoint now);
    /** Enables the limit of new flows to cold targets. */
    void setWarmupBounds(WarmupBounds bounds)
    {
        warmups_.setBounds(bounds);
    }
    /** Applies a new view of the zone's balancers, which determines the owners of cold targets. */
    void setView(const std::shared_ptr<const FleetView> &view, TimePoint now)
    {
        warmups_.setView(*view, now);
    }
    /** @return number of cold targets that only this balancer may open flows to */
    std::size_t ownedColdTargets(TimePoint now);
    /** @return what the limit of cold targets has counted since the last call */
    WarmupCounts takeWarmupCounts()
    {
        return warmups_.takeCounts();
    }
    /** @return whether services and targets are known; without them every packet is dropped */
    bool knowsDirectory() const
    {
        return services_ && !targets_.byId().empty();
    }
    PacketDecision onPacket(const Packet &packet, TimePoint now);
    /** Resets the flows of targets that are gone or silent and removes idle flows; to be called at nextTimer(). */
    void onTimer(TimePoint now, std::vector<ResetFlow> &resets);
    TimePoint nextTimer() const
    {
        return nextTimer_;
    }
    /** Discards what waiting packets would seem to show about targets, after this balancer did not run for a while. */
    void onPaused(TimePoint now);
    /** @return load and stuck flows of the targets that this balancer's flows use, and their answers since the last call */
    LoadReport report(TimePoint now);
    /** Applies the report of another balancer of the zone. */
    void onPeerReport(const HostAddress &peer, const LoadReport &report, TimePoint now);
    /** @return the changes since the last call, oldest first */
    std::vector<LivenessChange> takeLivenessChanges()
    {
        return std::exchange(livenessChanges_, {});
    }
    /** @return slow and shedding targets, and unreachable zones */
    TargetWatch &watch()
    {
        return watch_;
    }
    /** @return the changes since the last call, oldest first */
    std::vector<PressureChange> takePressureChanges()
    {
        return admissions_.takeChanges();
    }
    const TargetTable &targets() const
    {
        return targets_;
    }
    /** @return times from a request to the acknowledgement of its answer, as seen here; any thread may read them */
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
    /** Updates a flow and the liveness of its target from a packet. */
    void observePacket(PacketFlow &flow, const Packet &packet, TimePoint now);
    /** Records that the target of a flow answered. */
    void observeProgress(const PacketFlow &flow, TimePoint now);
    /** Records what a packet shows of the answer to the last request of its flow. */
    void observeAnswer(PacketFlow &flow, const Packet &packet, bool complete, TimePoint now);
    /** Discards the silence of a zone's targets, which the lost connection to the zone caused. */
    void restoreZone(ZoneId zone, TimePoint now);
    /** Updates the liveness of the target after a retransmission. */
    void observeRetransmission(const FlowKey &key, PacketFlow &flow, TimePoint now);
    /** Records a change of the liveness since `before`; schedules the reset of flows if the target became silent. */
    void recordLivenessChange(TargetIndex target, TargetLiveness before, TimePoint now);
    /** Resets the flows of targets that became silent, and of those that are gone and no longer answer. */
    void resetFlowsOfFailedTargets(TimePoint now, std::vector<ResetFlow> &resets);
    /** @return the service for a new flow of the route, chosen by weight */
    ServiceId pickService(const ServiceRoute &route, const Packet &packet) const;
    /** @return the target for a new flow, or nothing if none accepts one */
    std::optional<TargetIndex> chooseTarget(const ServiceRoute &route, const Packet &packet,
                                            std::optional<TargetIndex> avoid, TimePoint now);
    /**
     * Suspected and silent targets get a single new flow in each trial period, to test whether they answer again.
     *
     * @return a target of the own zone whose trial is due, or nothing
     */
    std::optional<TargetIndex> chooseTrialTarget(const ServiceRoute &route, const std::vector<TargetIndex> &candidates,
                                                 std::optional<TargetIndex> avoid, TimePoint now);
    /** @return whether the limit of cold targets allows a new flow; records in `warmupDeferred_` if it does not */
    bool mayOpenFlow(TargetIndex index, TimePoint now);
    /** @return a random target of an unreachable zone whose trial is due, or nothing */
    std::optional<TargetIndex> chooseZoneTrial(const std::vector<TargetIndex> &candidates, TimePoint now);
    /** @return whether the target is active and keeps what identifies it in packets; see TargetTable::ownsNumber() */
    bool acceptsNewFlows(TargetIndex index) const;
    /** @return acceptsNewFlows() regardless of evacuations */
    bool isUsable(TargetIndex index) const;
    /** @return the answer to an opening packet for which no target was found */
    PacketDecision refuseOpening(const ServiceRoute &route, const Packet &packet) const;
    /** @return fraction of the flows of these targets that wait for an answer */
    double busyFraction(const std::vector<TargetIndex> &targets) const;
    /** @return requests per slot at a target, both waiting and running */
    double requestsPerSlot(const TargetEntry &target, TimePoint now) const;
    /** @return load that a new flow of the service meets, if it goes to `target` */
    ServiceLoad loadOf(ServiceId service, TargetIndex target, TimePoint now) const;
    /** Asks for admission of a new flow to `target`. @return why it is refused, or nothing */
    std::optional<AdmissionRefusal> refusalOf(const ServiceRoute &route, const Packet &packet, TargetIndex target,
                                              TimePoint now);
    /** @return expected requests per slot, plus the penalty for a target of another zone */
    double costOf(const TargetEntry &target, double busyFraction, TimePoint now) const;
    /** @param received tag of the packet; its flow continues with one that only the target has, if there is one */
    ForwardPacket forward(TargetIndex target, PacketTag received) const;

    ZoneId zone_;
    SeededRandom random_;
    ServiceMapPtr services_;
    absl::flat_hash_set<HostAddress> removedRoutes_;
    TargetTable targets_;
    EvacuatedTargets evacuated_;
    PacketFlows flows_;
    PeerLoads peerLoads_;
    WarmupLimiter warmups_;
    bool warmupDeferred_ = false; ///< a cold target was passed over for the flow that is being placed
    bool isTrial_ = false; ///< the flow that is being placed is a trial, see chooseTrialTarget()
    TargetWatch watch_;
    ServiceAdmissions admissions_;
    std::vector<LivenessChange> livenessChanges_;
    std::unique_ptr<LatencyHistogram> answerTimes_; ///< on the heap for a stable address, since other threads read it
    absl::flat_hash_set<TargetIndex> failedTargets_; ///< gone or silent targets whose flows are still to be reset
    TimePoint nextExpiry_;
    TimePoint nextTimer_;
};

} // namespace poplarroad

#endif
