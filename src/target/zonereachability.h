#ifndef POPLARROAD_TARGET_ZONEREACHABILITY_H
#define POPLARROAD_TARGET_ZONEREACHABILITY_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/id.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace poplarroad
{

/** Whether targets of another zone can be reached. */
enum class Reachability : std::uint8_t {
    Reachable,
    Unreachable,
};

template<>
struct EnumNames<Reachability>
{
    static constexpr std::array table{
        EnumName<Reachability>{ Reachability::Reachable, "reachable" },
        EnumName<Reachability>{ Reachability::Unreachable, "unreachable" },
    };
};

/** A change of the reachability of a zone, with the observations that led to it. */
struct ReachabilityChange
{
    ZoneId zone;
    Reachability reachability = Reachability::Reachable;
    TargetId target; ///< the last one that became silent, or the one that answered
    std::uint32_t silentTargets = 0; ///< became silent within a second
    std::uint32_t targetsInUse = 0; ///< silent ones and those that still answer
    std::uint32_t unansweredTargets = 0; ///< those with unanswered packets, if these showed it
};

/** Concludes from the targets of another zone that become silent together that the zone cannot be reached. */
class ZoneReachability
{
public:
    /** Targets that become silent within this time have a common cause. */
    static constexpr Milliseconds SilenceWindow{ 1000 };
    /** Fewer targets that become silent together are failures of their own. */
    static constexpr std::uint32_t MinSilentTargets = 2;
    /** Targets that leave packets unanswered while no target of the zone answers, before any of them is silent. */
    static constexpr std::size_t MinUnansweredTargets = 3;
    /** How long no target of the zone answers then; the first retransmission comes after 200 ms. */
    static constexpr Milliseconds MinUnansweredTime{ 350 };
    /** Interval at which an unreachable zone gets one new flow, at any of its targets. */
    static constexpr Milliseconds TrialPeriod{ 1000 };

    /**
     * Records that a target became silent.
     *
     * @param answeringInUse other targets of the zone that flows of this balancer use and that are not silent
     */
    void onSilent(ZoneId zone, TargetId target, std::uint32_t answeringInUse, TimePoint now);
    /**
     * Records that a packet to a target was retransmitted. Each target alone becomes silent only after two flows waited
     * for 600 ms there; a zone that cannot be reached shows earlier, since none of its targets answers.
     *
     * @param waitingSince when the packet was sent first
     */
    void onRetransmission(ZoneId zone, TargetId target, TimePoint waitingSince, TimePoint now);
    /**
     * Records that a target answered.
     *
     * @param at when it answered, which another balancer may have seen
     * @return whether the zone was unreachable until now
     */
    bool onProgress(ZoneId zone, TargetId target, TimePoint at);
    bool isUnreachable(ZoneId zone) const;
    /** @return whether a trial flow to an unreachable zone is due; if so, the trial counts as started */
    bool tryStartTrial(ZoneId zone, TimePoint now);
    /** Discards all observations, after a pause of this balancer. */
    void discard(TimePoint now);
    std::size_t unreachableZones() const;
    /** @return the changes since the last call */
    std::vector<ReachabilityChange> takeChanges()
    {
        return std::exchange(changes_, {});
    }

private:
    struct Unanswered
    {
        TargetId target;
        TimePoint waitingSince;
        TimePoint at; ///< last retransmission
    };
    struct Zone
    {
        std::vector<std::pair<TargetId, TimePoint>> silent; ///< became silent within SilenceWindow
        std::vector<Unanswered> unanswered; ///< targets with retransmissions since the last progress of the zone
        TimePoint lastProgress;
        std::optional<TimePoint> unreachableSince;
        TimePoint lastTrial;
    };

    absl::flat_hash_map<ZoneId, Zone> zones_;
    std::vector<ReachabilityChange> changes_;
    TimePoint discardedAt_; ///< waits count from then on
};

/**
 * When targets of the own zone last made progress and had retransmissions, to tell a target that fails from load that
 * delays the answers of all.
 */
class ZoneProgress
{
public:
    /** Older retransmissions of other targets do not count. */
    static constexpr Milliseconds MaxRetransmissionAge{ 1000 };

    void onProgress(TimePoint at);
    void onRetransmission(TargetId target, TimePoint now);
    /** @return the last progress in the zone, or nothing if no other target had retransmissions lately */
    std::optional<TimePoint> progressOfDelayedZone(TargetId target, TimePoint now) const;

private:
    struct Retransmission
    {
        TargetId target;
        TimePoint at;
    };

    TimePoint lastProgress_;
    std::optional<Retransmission> latest_;
    std::optional<Retransmission> latestOfOther_; ///< the latest of another target than that of latest_
};

} // namespace poplarroad

#endif
