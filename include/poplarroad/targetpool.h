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

/** How a request at a target ended, for its limit and its health. */
enum class TargetOutcome : std::uint8_t {
    Answered,
    Shed, ///< refused explicitly for load
    Draining, ///< refused explicitly because it leaves
    Lost, ///< connection broken or not made
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

/** What is known of one target, for status and explain. */
struct TargetStatus
{
    TargetId target;
    std::uint32_t inProgress = 0;
    std::uint32_t connections = 0;
    std::uint32_t limit = 0; ///< concurrent requests that it may have now
    bool ejected = false;
    bool draining = false;
    double latencyMs = 0.0;
    std::uint64_t answered = 0;
};

/** The targets of one pool with their concurrency limits and their health. One dispatcher owns it. */
class TargetPool
{
public:
    /** @param seed for random choices between equal targets */
    explicit TargetPool(std::uint64_t seed);
    ~TargetPool();
    TargetPool(TargetPool &&) noexcept;
    TargetPool &operator=(TargetPool &&) noexcept;
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /** Takes the declared targets of the pool; a new target starts cold. */
    void setTargets(const std::vector<Target> &targets, TimePoint now);
    /**
     * Picks the target of a new flow: the ready target with the least work relative to its limit, without regard to
     * free slots, so that the pool's queue can hold the request.
     *
     * @param occupancy what the flow's first request occupies
     * @param avoid a target that refused or lost the request before
     * @return the target, or nothing when none takes new work
     */
    std::optional<TargetId> choose(Occupancy occupancy, TimePoint now, std::optional<TargetId> avoid = std::nullopt);
    /**
     * Picks the target of a new flow among those that can run its request now.
     *
     * @param spare slots that have to stay free at the target, kept for more urgent work; a target whose limit is not
     *              larger than this is used up to its limit
     * @return the target, or nothing when none has room
     */
    std::optional<TargetId> chooseWithRoom(Occupancy occupancy, std::uint32_t spare, TimePoint now,
                                           std::optional<TargetId> avoid = std::nullopt);
    /** @return whether the target has room for a request and, beyond it, `spare` free slots */
    bool hasRoomBeyond(TargetId target, Occupancy occupancy, std::uint32_t spare) const;
    /** @return whether the target takes new flows: declared active, not ejected, not draining by its own word */
    bool acceptsNewFlows(TargetId target) const;
    /** @return whether the target can still answer requests of its established flows */
    bool canAnswer(TargetId target) const;
    /** @return whether the target has a free slot, or a free connection */
    bool hasRoom(TargetId target, Occupancy occupancy) const;
    /** Counts a request as assigned to the target's queue (+1) or no longer (-1), for the choice of new flows. */
    void addQueued(TargetId target, int change);
    /** @return whether the target has more requests in progress than it declared slots, to find its real limit */
    bool exceedsDeclaredSlots(TargetId target) const;
    /** Counts a request as in progress. */
    void begin(TargetId target, Occupancy occupancy, TimePoint now);
    /** Counts a request as ended and adapts limit and health. `took` is the time since begin(). */
    void end(TargetId target, Occupancy occupancy, TargetOutcome outcome, Microseconds took, TimePoint now);
    /** Takes what the target says of itself; it is weighed below what requests experience. */
    void onReport(TargetId target, bool healthy, std::uint32_t inProgress, TimePoint now);
    /** Readmits ejected targets whose time is over; to be called at nextTimer(). */
    void onTimer(TimePoint now);
    TimePoint nextTimer() const;

    /** @return the sum of the limits of the targets that take new flows */
    std::uint32_t limit() const;
    /** @return requests in progress over all targets, feeds not included */
    std::uint32_t inProgress() const;
    /** @return mean time that a request holds a slot */
    Microseconds serviceTime() const;
    std::vector<TargetStatus> status() const;
    /** @return the last reasons for the target's state, latest last, for the operator's `explain` */
    std::vector<std::string> explain(TargetId target) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace poplarroad

#endif
