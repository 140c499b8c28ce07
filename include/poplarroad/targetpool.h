#ifndef POPLARROAD_TARGETPOOL_H
#define POPLARROAD_TARGETPOOL_H

#include "poplarroad/clock.h"
#include "poplarroad/configuration.h"
#include "poplarroad/contract.h"
#include "poplarroad/service.h"
#include "poplarroad/target.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad
{

/** How a request ended at a target; adjusts the concurrency limit and the health of the target. */
enum class TargetOutcome : std::uint8_t {
    Answered,
    Shed, ///< refused explicitly because of its load
    Draining, ///< refused explicitly because it is draining
    Lost, ///< connection broken or not established
    TimedOut,
    Cancelled, ///< says nothing about the target
};

template<>
struct EnumNames<TargetOutcome>
{
    static constexpr std::array table{
        EnumName<TargetOutcome>{ TargetOutcome::Answered, "answered" },
        EnumName<TargetOutcome>{ TargetOutcome::Shed, "shed" },
        EnumName<TargetOutcome>{ TargetOutcome::Draining, "draining" },
        EnumName<TargetOutcome>{ TargetOutcome::Lost, "lost" },
        EnumName<TargetOutcome>{ TargetOutcome::TimedOut, "timed-out" },
        EnumName<TargetOutcome>{ TargetOutcome::Cancelled, "cancelled" },
    };
};

/** State of one target, for `status` and `explain`. */
struct TargetStatus
{
    TargetId target;
    std::uint32_t inProgress = 0;
    std::uint32_t connections = 0;
    std::uint32_t limit = 0; ///< current limit on its concurrent requests
    bool ejected = false;
    bool draining = false;
    double latencyMs = 0.0; ///< moving average
    std::uint64_t answered = 0;
};

/** The targets of one pool with their concurrency limits and health. One dispatcher owns it. */
class TargetPool
{
public:
    /** @param seed seeds the random choice between equal targets */
    explicit TargetPool(std::uint64_t seed);
    ~TargetPool();
    TargetPool(TargetPool &&) noexcept;
    TargetPool &operator=(TargetPool &&) noexcept;
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /** Sets the declared targets of the pool; a new target ramps up to its limit. */
    void setTargets(const std::vector<Target> &targets, TimePoint now);
    /**
     * Picks the target of a new flow: of the targets that accept new flows, the one with the least load relative to its
     * limit, even without a free slot, since the request can wait in the pool's queue.
     *
     * @param occupancy what the flow's first request uses at the target
     * @param avoid a target that refused or lost the request before
     * @return the target, or nothing when none accepts new flows
     */
    std::optional<TargetId> choose(Occupancy occupancy, TimePoint now, std::optional<TargetId> avoid = std::nullopt);
    /**
     * Picks the target of a new flow among those that can run its request now.
     *
     * @param spare slots to leave free at the target for more urgent requests; ignored for a target whose limit is not
     *              larger than this
     * @return the target, or nothing when none has a free slot or connection
     */
    std::optional<TargetId> chooseWithRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now,
                                           std::optional<TargetId> avoid = std::nullopt);
    /** @return whether the target can run a request now and still has `spare` free slots */
    bool hasRoomBeyond(TargetId target, Occupancy occupancy, std::uint32_t spare) const;
    /** @return whether the target accepts new flows: declared active, not ejected, not reporting that it drains */
    bool acceptsNewFlows(TargetId target) const;
    /** @return whether the target can still answer requests of its established flows */
    bool canAnswer(TargetId target) const;
    /** @return whether the target has a free slot or connection, depending on the occupancy */
    bool hasRoom(TargetId target, Occupancy occupancy) const;
    /** Counts a queued request that is assigned to the target (+1) or no longer (-1); affects where new flows go. */
    void addQueued(TargetId target, int change);
    /** @return whether more requests are in progress than declared slots, as happens when probing for the real limit */
    bool exceedsDeclaredSlots(TargetId target) const;
    /** Counts a request as in progress. */
    void begin(TargetId target, Occupancy occupancy, TimePoint now);
    /** Counts a request as ended and adjusts limit and health. `took` is the time since begin(). */
    void end(TargetId target, Occupancy occupancy, TargetOutcome outcome, Microseconds took, TimePoint now);
    /** Handles the health report of the target itself; it lowers the failure threshold but never ejects by itself. */
    void onReport(TargetId target, bool healthy, std::uint32_t inProgress, TimePoint now);
    /** Readmits targets whose ejection, or time without requests after draining, has ended; due at nextTimer(). */
    void onTimer(TimePoint now);
    TimePoint nextTimer() const;

    /** @return the sum of the limits of the targets that accept new flows */
    std::uint32_t limit() const;
    /** @return requests in progress at all targets, without feeds */
    std::uint32_t inProgress() const;
    /** @return mean time that a request occupies a slot */
    Microseconds serviceTime() const;
    std::vector<TargetStatus> status() const;
    /** @return the most recent reasons for the target's state, latest last, for the operator's `explain` */
    std::vector<std::string> explain(TargetId target) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
