#ifndef POPLARROAD_TARGET_LIVENESSDETECTOR_H
#define POPLARROAD_TARGET_LIVENESSDETECTOR_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Whether a target answers, as the packets of its callers show. */
enum class TargetLiveness : std::uint8_t {
    Answering,
    Suspected, ///< gets new flows only as a last resort or as a trial; keeps its flows
    Silent, ///< like Suspected, and its flows are reset
};

template<>
struct EnumNames<TargetLiveness>
{
    static constexpr std::array table{
        EnumName<TargetLiveness>{ TargetLiveness::Answering, "answering" },
        EnumName<TargetLiveness>{ TargetLiveness::Suspected, "suspected" },
        EnumName<TargetLiveness>{ TargetLiveness::Silent, "silent" },
    };
};

/**
 * Detects from the packets of the callers whether a target still answers.
 *
 * Targets answer the callers directly, so the answers don't pass the balancer. An acknowledgement number that advances
 * shows that the target answered. A caller that gets no answer retransmits its packet after 200 ms and again 400 ms
 * later. One lost packet also causes a retransmission, so only flows that retransmit at least twice count as stuck.
 */
class LivenessDetector
{
public:
    /** Minimum age of the oldest unanswered packet for a target to become suspected. */
    static constexpr Milliseconds SuspectAfter{ 150 };
    /**
     * A flow is stuck when this much time lies between the first transmission of a packet and its last retransmission.
     * The second retransmission is due after 600 ms; the margin allows for late timers.
     */
    static constexpr Milliseconds StuckAfter{ 550 };
    /** Retransmitting flows that make a target suspected; one alone may have lost a packet or sent a long request. */
    static constexpr std::uint32_t FlowsToSuspect = 2;
    /** Stuck flows, here and at other balancers, that make a target silent, or confirm an old silence. */
    static constexpr std::uint32_t FlowsToDeclareSilent = 2;
    /**
     * Older retransmissions are discarded: the next one would have come within 800 ms, unless the flow has ended or its
     * packets take another balancer now.
     */
    static constexpr Milliseconds MaxRetransmissionAge{ 1000 };
    /** Interval at which a suspected or silent target gets one new flow, to test whether it answers again. */
    static constexpr Milliseconds TrialPeriod{ 2000 };

    /** Discards all observations, for a new instance of the target or one that is listed again. */
    void reset(TimePoint now);
    /**
     * Discards the evidence of silence after this balancer was paused. Packets that waited for it meanwhile say nothing
     * about the target: they look like retransmissions, and their answers were not forwarded either.
     */
    void onPaused(TimePoint now);
    /** Counts the target as answering until its own flows show otherwise, after its zone was unreachable. */
    void discardSilence(TimePoint now);
    /** Records that the acknowledgement number of a caller advanced or a handshake was completed. */
    void onProgress(TimePoint now);
    /**
     * Records that a caller retransmitted a packet.
     *
     * @param flow any number that identifies the flow
     * @param waitingSince when the caller sent the packet first
     */
    void onRetransmission(std::uint64_t flow, TimePoint waitingSince, TimePoint now);
    /**
     * Limits the next conclusion that the target is silent: while the answers of all targets of its zone are delayed, the
     * target is silent only if another one made progress meanwhile. A progress within SuspectAfter of the request does
     * not count: its answer may have been on its way when a link failed.
     *
     * @param lastProgress of the zone; nothing if the other targets of the zone show no delay
     */
    void setProgressOfDelayedZone(std::optional<TimePoint> lastProgress)
    {
        delayedZoneProgress_ = lastProgress;
    }
    /** Discards the retransmissions of a flow that its caller has ended. */
    void onFlowEnded(std::uint64_t flow);
    /**
     * Records what another balancer sees; its stuck flows and its progress count like those seen here.
     *
     * @param peer any number that identifies the balancer
     * @param stuckFlows flows of the target that are stuck at the peer
     * @param sinceProgress time from the last progress that the peer saw until it sent the report
     */
    void onPeerReport(std::uint64_t peer, std::uint32_t stuckFlows, Milliseconds sinceProgress, TimePoint now);
    /** @return flows seen here that retransmitted twice or more since the last progress, within MaxRetransmissionAge */
    std::uint32_t stuckFlows(TimePoint now) const;
    /** @return flows seen here that retransmitted since the last progress, within MaxRetransmissionAge */
    std::uint32_t retransmittingFlows(TimePoint now) const;
    /** @return milliseconds since the last progress that any balancer saw, at most an hour; an hour if there was none */
    std::uint32_t sinceProgressMs(TimePoint now) const;
    /** @return whether a trial flow to a suspected or silent target is due; if so, the trial counts as started */
    bool tryStartTrial(TimePoint now);
    TargetLiveness liveness() const
    {
        return liveness_;
    }
    /**
     * Evidence of silence ages: the target may have answered since, through a path that this balancer does not see.
     * Targets stay Silent without recent evidence, which only keeps new flows away.
     *
     * @return whether the target is silent and flows that this balancer forwards showed it lately
     */
    bool isSilentOnRecentEvidence(TimePoint now) const
    {
        return liveness_ == TargetLiveness::Silent && silenceSeenAt_ && now - *silenceSeenAt_ <= MaxRetransmissionAge;
    }
    /** @return when the liveness last changed */
    TimePoint livenessSince() const
    {
        return livenessSince_;
    }

private:
    struct Retransmission
    {
        std::uint64_t flow = 0;
        TimePoint waitingSince; ///< first transmission; the last progress or the end of the last pause if that is later
        TimePoint at; ///< last retransmission
    };

    struct PeerReport
    {
        std::uint64_t peer = 0;
        std::uint32_t stuckFlows = 0;
        TimePoint receivedAt;
    };

    /** Older reports of peers are ignored. */
    static constexpr Milliseconds MaxPeerReportAge{ 500 };

    void setLiveness(TargetLiveness liveness, TimePoint now);
    std::uint32_t stuckFlowsAtPeers(TimePoint now) const;
    void dropOldRetransmissions(TimePoint now);
    void updateLiveness(TimePoint now);
    /** @return whether the whole zone shows no progress since the requests that are stuck here */
    bool sharesDelayOfZone(TimePoint now) const;

    TargetLiveness liveness_ = TargetLiveness::Answering;
    TimePoint livenessSince_;
    TimePoint lastProgress_; ///< or the last reset, if that is later
    std::optional<TimePoint> progressSeenAt_; ///< nothing after a reset, which is no sign that the target answers
    TimePoint lastTrial_;
    TimePoint pausedUntil_; ///< end of the last pause of this balancer
    std::optional<TimePoint> silenceSeenAt_; ///< when flows forwarded here last showed silence
    std::vector<Retransmission> retransmissions_; ///< one for each flow that retransmitted since the last progress
    std::optional<TimePoint> delayedZoneProgress_; ///< see setProgressOfDelayedZone()
    std::vector<PeerReport> peers_; ///< latest report of each peer
};

} // namespace poplarroad

#endif
