#ifndef POPLARROAD_TARGET_TARGETWATCH_H
#define POPLARROAD_TARGET_TARGETWATCH_H

#include "target/targetcomparison.h"
#include "target/zonereachability.h"

namespace poplarroad
{

/** What the packets of callers show of a flow's last answer. */
struct AnswerObservation
{
    HostAddress route;
    TargetIndex target;
    std::uint32_t acknowledged = 0; ///< acknowledgement number of the caller
    TimePoint::duration waited{ 0 }; ///< since the request was sent
};

/**
 * Concludes from the observations of all targets what single ones cannot show: that a target is slow or sheds, that
 * another zone cannot be reached, that the own zone is loaded and no target of it has failed.
 *
 * Until enable() is called it observes nothing, and all targets count as usual and all zones as reachable.
 */
class TargetWatch
{
public:
    /**
     * @param zone of this balancer
     * @param targets has the evidence and the standing of each target
     */
    TargetWatch(ZoneId zone, TargetTable &targets)
        : zone_(zone)
        , targets_(targets)
    {
    }

    void enable()
    {
        enabled_ = true;
    }
    bool enabled() const
    {
        return enabled_;
    }
    /** A packet acknowledges more of an answer. @param complete nothing more of the answer follows */
    void onAcknowledged(AnswerTrace &trace, const AnswerObservation &seen, bool complete, TimePoint now);
    /** The caller reset the flow. */
    void onReset(AnswerTrace &trace, const AnswerObservation &seen, TimePoint now);
    /**
     * A target made progress at `at`, here or at another balancer.
     *
     * @return whether its zone was unreachable until then, so that what its targets showed is outdated
     */
    bool onProgress(TargetIndex target, TimePoint at);
    void onRetransmission(TargetIndex target, TimePoint waitingSince, TimePoint now);
    /** Records the answers and the progress that another balancer saw. @return like onProgress() */
    bool onPeerReport(TargetIndex target, const TargetLoad &load, TimePoint now);
    void onSilent(TargetIndex target, TimePoint now);
    /** Discards all evidence, after this balancer was paused. */
    void onPaused(TimePoint now);
    void onServices(const ServiceMap &services)
    {
        comparison_.retainRoutes(services);
    }
    /** Compares the targets if that is due. @return when it is due next; TimePoint::max() if disabled */
    TimePoint onTimer(TimePoint now);
    bool isUnreachable(ZoneId zone) const
    {
        return zoneReachability_.isUnreachable(zone);
    }
    std::size_t unreachableZones() const
    {
        return zoneReachability_.unreachableZones();
    }
    /** @return whether a trial flow to an unreachable zone is due; if so, the trial counts as started */
    bool tryStartZoneTrial(ZoneId zone, TimePoint now)
    {
        return zoneReachability_.tryStartTrial(zone, now);
    }
    /** @return whether a trial flow to a target of the own zone is due; if so, the trial counts as started */
    bool tryStartTrial(TargetIndex target, TimePoint now);
    /** @return work of a target, in requests, in terms of the work of a usual one */
    static double expectedWork(const TargetEntry &target, double requests);
    /** @return cost of a target by its standing, in requests per slot */
    static double penaltyOf(const TargetEntry &target);
    /** @return the changes since the last call, oldest first */
    std::vector<ComparisonChange> takeComparisonChanges()
    {
        return comparison_.takeChanges();
    }
    /** @return the changes since the last call, oldest first */
    std::vector<ReachabilityChange> takeReachabilityChanges()
    {
        return zoneReachability_.takeChanges();
    }

private:
    /** Limits the liveness of a target of the own zone by the progress of the others. */
    void limitSilence(TargetEntry &target, TimePoint now);
    /** @return other targets of the zone that have flows here and are not silent */
    std::uint32_t answeringInUse(const Target &target) const;

    ZoneId zone_;
    TargetTable &targets_;
    bool enabled_ = false;
    TimePoint nextEvaluation_;
    TargetComparison comparison_;
    ZoneReachability zoneReachability_;
    ZoneProgress zoneProgress_; ///< of the own zone
};

} // namespace poplarroad

#endif
