#ifndef POPLARROAD_TARGET_TARGETEVIDENCE_H
#define POPLARROAD_TARGET_TARGETEVIDENCE_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <cstdint>
#include <vector>

namespace poplarroad
{

/** What the packets of a target's flows say of it. */
enum class TargetLiveness : std::uint8_t {
    Answering,
    Suspected, ///< gets no new flows; its flows are left alone
    Silent, ///< its flows cannot be answered
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
 * Judges from the callers' packets whether a target still answers.
 *
 * Answers go from the target to the caller directly. A caller that gets none sends its packet again after 200 ms and again
 * after 400 ms more; an acknowledgement that advances shows that the target answered. A packet that was lost makes its flow
 * repeat itself once. Only flows that have repeated themselves again since count against a target.
 */
class LivenessDetector
{
public:
    /** Several flows that repeat themselves within this time without any progress make a target suspected. */
    static constexpr Milliseconds SuspectAfter{ 150 };
    /** A flow is stuck from its second repeat on, which comes after 600 ms; a late timer must not miss it. */
    static constexpr Milliseconds StuckAfter{ 550 };
    /** Flows that have to repeat themselves: one alone can be a lost packet or a long request. */
    static constexpr std::uint32_t FlowsToSuspect = 2;
    /** Flows that have to be stuck. */
    static constexpr std::uint32_t FlowsToDeclareSilent = 2;
    /**
     * A repeat is forgotten after this: the caller's next one would have come within 800 ms, unless its flow has ended or
     * takes its way through another balancer now.
     */
    static constexpr Milliseconds MaxRetransmissionAge{ 1000 };
    /** How often a suspected or silent target gets one new flow, to see whether it answers again. */
    static constexpr Milliseconds TrialPeriod{ 2000 };

    /** A new life of the target, or the process was paused: nothing is known. */
    void reset(TimePoint now);
    /** A caller's acknowledgement advanced, or a handshake was completed. */
    void onProgress(TimePoint now);
    /**
     * A caller sent a packet again.
     *
     * @param flow any number that identifies the flow
     * @param waitingSince when the caller sent the packet first
     */
    void onRetransmission(std::uint64_t flow, TimePoint waitingSince, TimePoint now);
    /** A flow has ended at its caller; what it repeated says nothing any more. */
    void onFlowEnded(std::uint64_t flow);
    /**
     * Takes what another balancer sees: its stuck flows count like those here, and its progress too.
     *
     * @param peer any number that identifies the balancer
     * @param sinceProgress time since it saw progress, before the report was sent
     */
    void onPeerReport(std::uint64_t peer, std::uint32_t stuckFlows, Milliseconds sinceProgress, TimePoint now);
    /** @return flows that repeated themselves here more than once since the last progress, and not long ago */
    std::uint32_t stuckFlows(TimePoint now) const;
    /** @return flows that sent again here since the last progress, and not long ago */
    std::uint32_t retransmittingFlows(TimePoint now) const;
    std::uint32_t sinceProgressMs(TimePoint now) const;
    /** @return whether one new flow may go there now although it is not known to answer; it is counted then */
    bool tryStartTrial(TimePoint now);
    TargetLiveness liveness() const
    {
        return liveness_;
    }
    TimePoint since() const
    {
        return livenessSince_;
    }

private:
    struct Retransmission
    {
        std::uint64_t flow = 0;
        TimePoint waitingSince;
        TimePoint at;
    };

    struct PeerReport
    {
        std::uint64_t peer = 0;
        std::uint32_t stuckFlows = 0;
        TimePoint at;
    };

    /** A peer's report older than this says nothing about the present. */
    static constexpr Milliseconds MaxPeerReportAge{ 500 };

    void setLiveness(TargetLiveness liveness, TimePoint now);
    std::uint32_t stuckFlowsAtPeers(TimePoint now) const;
    void dropOldRetransmissions(TimePoint now);
    void updateLiveness(TimePoint now);

    TargetLiveness liveness_ = TargetLiveness::Answering;
    TimePoint livenessSince_;
    TimePoint lastProgress_;
    TimePoint lastTrial_;
    std::vector<Retransmission> retransmissions_; ///< the last one of each flow since the last progress
    std::vector<PeerReport> peers_;
};

} // namespace poplarroad

#endif
