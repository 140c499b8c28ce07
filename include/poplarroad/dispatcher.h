#ifndef POPLARROAD_DISPATCHER_H
#define POPLARROAD_DISPATCHER_H

#include "poplarroad/clock.h"
#include "poplarroad/configuration.h"
#include "poplarroad/contract.h"
#include "poplarroad/host.h"
#include "poplarroad/request.h"
#include "poplarroad/service.h"
#include "poplarroad/target.h"
#include "poplarroad/targetpool.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Write the request to the target; the dispatcher counts it as in progress from here on. */
struct RunAtTarget
{
    TargetId target;
    Occupancy occupancy = Occupancy::Slot;
    RequestMessage request; ///< `remaining` is what is left of the deadline now
};

/** Tell the target that nobody waits for the answer any more. */
struct CancelAtTarget
{
    TargetId target;
    RequestId id;
};

/** Send a reply towards the caller. */
struct ReplyToCaller
{
    ReturnPath path;
    CallerReply reply;
};

/** Pass an idempotent request or a renewal on to the present dispatcher of the pool, with MaxHops as its number of forwards. */
struct ForwardToDispatcher
{
    HostAddress host;
    ReturnPath path;
    CallerMessage message;
};

using DispatchAction = std::variant<RunAtTarget, CancelAtTarget, ReplyToCaller, ForwardToDispatcher>;
using DispatchActions = std::vector<DispatchAction>;

/** A whole answer from a target, or one position of a feed. */
struct TargetResult
{
    TargetId target;
    RequestId id;
    std::uint64_t position = 0;
    bool last = true;
    std::string payload;
};

/** Why a target refused a request without running it. */
enum class TargetRefusal : std::uint8_t {
    Shed,
    Draining,
};

template<>
struct EnumNames<TargetRefusal>
{
    static constexpr std::array table{
        EnumName<TargetRefusal>{ TargetRefusal::Shed, "shed" },
        EnumName<TargetRefusal>{ TargetRefusal::Draining, "draining" },
    };
};

/** The target refused the request explicitly; it was not run. */
struct TargetRefused
{
    TargetId target;
    RequestId id;
    TargetRefusal reason = TargetRefusal::Shed;
};

/** The connection to the target broke or could not be made. */
struct TargetLost
{
    TargetId target;
    RequestId id;
    bool written = true; ///< at least one byte of the request may have reached the target
};

/** What the target's own health or load endpoint says; it lags and may be wrong. */
struct TargetReport
{
    TargetId target;
    bool healthy = true;
    std::uint32_t inProgress = 0;
};

using TargetEvent = std::variant<TargetResult, TargetRefused, TargetLost, TargetReport>;

/** State of a pool as its dispatcher reports it to each ingress with the replies. */
struct PoolReport
{
    PoolId pool;
    double saturation = 0.0; ///< queued and running work over the pool's limit; above 1 the queue grows
    Urgency shedBelow = Urgency::Low; ///< new requests of a lower urgency are refused
    Milliseconds shedFor{ 0 }; ///< how long shedBelow holds

    friend bool operator==(const PoolReport &, const PoolReport &) = default;
};

/** Counters and gauges of one pool. */
struct PoolStatus
{
    PoolId pool;
    std::uint64_t flows = 0;
    std::uint64_t queued = 0;
    std::uint64_t inProgress = 0;
    std::uint64_t feeds = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t limit = 0; ///< requests that the targets may run at the same time
    std::uint64_t indexedTargets = 0; ///< targets that flow records can name, removed ones included
    PoolReport report;
};

/** Why a flow is at its target, for the operator's `explain`. */
struct FlowExplanation
{
    FlowId flow;
    bool known = false;
    TargetId target;
    std::vector<std::string> reasons; ///< latest last
};

/** Why a target gets the work that it gets, for the operator's `explain`. */
struct TargetExplanation
{
    TargetStatus status;
    std::vector<std::string> reasons; ///< latest last
};

/**
 * Handles one pool: binds requests to this process, admits them, picks targets and follows them to their outcome.
 *
 * Every method appends the actions to be carried out; the object does no input or output. One task owns it.
 */
class Dispatcher
{
public:
    /**
     * @param pool the pool
     * @param seed for random choices between equal targets, so that a run can be repeated
     */
    Dispatcher(PoolId pool, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Takes a new configuration: targets and contracts of the pool. */
    void setConfiguration(ConfigurationPtr configuration, TimePoint now, DispatchActions &actions);
    /** Takes a new view of the zone: this process's incarnation, whether it leaves, who dispatches the pool. */
    void setView(std::shared_ptr<const FleetView> view, TimePoint now, DispatchActions &actions);
    /** Handles a message of a caller, from this ingress or forwarded by another one. */
    void onCallerMessage(CallerMessage message, const ReturnPath &path, TimePoint now, DispatchActions &actions);
    /**
     * Takes over the pool although the view may still name another dispatcher, because a balancer that should know better
     * handed a message over. It holds until the views have had time to converge.
     */
    void takeOverPool(TimePoint now);
    /** Handles what a target or its connection reports. */
    void onTargetEvent(TargetEvent event, TimePoint now, DispatchActions &actions);
    /** Handles deadlines and expiry; to be called at nextTimer(). */
    void onTimer(TimePoint now, DispatchActions &actions);
    /** @return when onTimer() has to be called next */
    TimePoint nextTimer() const;
    /**
     * Drops the queue after the process stood still. Nothing new is accepted until the view has the new incarnation, which
     * may arrive before or after this call.
     *
     * @param next the new incarnation
     */
    void onPaused(Incarnation next, TimePoint now, DispatchActions &actions);

    /** @return whether nothing is queued or in progress, feeds included */
    bool idle() const;
    PoolReport report(TimePoint now) const;
    PoolStatus status(TimePoint now) const;
    FlowExplanation explain(FlowId flow) const;
    /** @return what requests of the pool experienced at the target, or nothing when it is not a target of the pool */
    std::optional<TargetExplanation> explainTarget(TargetId target) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/**
 * Finds the dispatcher of a pool by rendezvous hashing over the hosts of the zone that take new work.
 *
 * @param pool a pool of the view's zone
 * @param view the zone's members
 * @return the host, or nullptr when no host takes new work; never this host before it has joined its zone
 */
const HostRecord *dispatcherOf(const PoolId &pool, const FleetView &view);

} // namespace poplarroad

#endif
