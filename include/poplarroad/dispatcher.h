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

/** Send the request to the target; the dispatcher counts it as in progress from now on. */
struct RunAtTarget
{
    TargetId target;
    Occupancy occupancy = Occupancy::Slot;
    RequestMessage request; ///< `remaining` is the time left until the deadline
};

/** Tell the target that the answer is no longer needed. */
struct CancelAtTarget
{
    TargetId target;
    RequestId id;
};

/** Send a reply to the caller, through the ingress that received the request. */
struct ReplyToCaller
{
    ReturnPath path;
    CallerReply reply;
};

/** Forward an idempotent request or a token renewal to the pool's current dispatcher, with MaxHops as hop count. */
struct ForwardToDispatcher
{
    HostAddress host;
    ReturnPath path;
    CallerMessage message;
};

using DispatchAction = std::variant<RunAtTarget, CancelAtTarget, ReplyToCaller, ForwardToDispatcher>;
using DispatchActions = std::vector<DispatchAction>;

/** A complete answer from a target, or one of the numbered answers of a feed. */
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

/** The target refused the request explicitly and did not run it. */
struct TargetRefused
{
    TargetId target;
    RequestId id;
    TargetRefusal reason = TargetRefusal::Shed;
};

/** The connection to the target broke or could not be established. */
struct TargetLost
{
    TargetId target;
    RequestId id;
    bool written = true; ///< at least one byte of the request may have reached the target
};

/** Health and load as the target itself reports them; the report is late and may be wrong. */
struct TargetReport
{
    TargetId target;
    bool healthy = true;
    std::uint32_t inProgress = 0;
};

using TargetEvent = std::variant<TargetResult, TargetRefused, TargetLost, TargetReport>;

/** State of a pool, which its dispatcher reports to each ingress along with replies. */
struct PoolReport
{
    PoolId pool;
    double saturation = 0.0; ///< queued and running requests divided by the pool's limit; above 1 the queue grows
    Urgency shedBelow = Urgency::Low; ///< new requests of a lower urgency are refused
    Milliseconds shedFor{ 0 }; ///< how long shedBelow applies

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
    std::uint64_t limit = 0; ///< concurrent requests that the targets may run
    std::uint64_t indexedTargets = 0; ///< targets in the index that flow records refer to, including removed ones
    PoolReport report;
};

/** Why a flow was assigned to its target, for the operator's `explain`. */
struct FlowExplanation
{
    FlowId flow;
    bool known = false;
    TargetId target;
    std::vector<std::string> reasons; ///< latest last
};

/** Why a target gets its share of the requests, for the operator's `explain`. */
struct TargetExplanation
{
    TargetStatus status;
    std::vector<std::string> reasons; ///< latest last
};

/**
 * Dispatches the requests of one pool: binds flows to this process by tokens, queues requests, picks targets and tracks
 * the outcomes.
 *
 * The methods append the actions that the owner has to carry out; the object itself does no I/O. One task owns it.
 */
class Dispatcher
{
public:
    /**
     * @param pool the pool
     * @param seed seeds the random choice between equal targets, so that a run can be reproduced
     */
    Dispatcher(PoolId pool, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /** Applies a new configuration: the targets and contracts of the pool. */
    void setConfiguration(ConfigurationPtr configuration, TimePoint now, DispatchActions &actions);
    /** Applies a new view of the zone: this process's incarnation, whether it is leaving, who dispatches the pool. */
    void setView(std::shared_ptr<const FleetView> view, TimePoint now, DispatchActions &actions);
    /** Handles a message from a caller, received by this ingress or forwarded by another one. */
    void onCallerMessage(CallerMessage message, const ReturnPath &path, TimePoint now, DispatchActions &actions);
    /**
     * Takes over the pool, although this balancer's view may still name another dispatcher, because a balancer whose
     * view may be newer forwarded a message here. Lasts until the views have had time to converge.
     */
    void takeOverPool(TimePoint now);
    /** Handles an event of a target or of the connection to it. */
    void onTargetEvent(TargetEvent event, TimePoint now, DispatchActions &actions);
    /** Handles deadlines and expired records; to be called at nextTimer(). */
    void onTimer(TimePoint now, DispatchActions &actions);
    /** @return when onTimer() has to be called next */
    TimePoint nextTimer() const;
    /**
     * Refuses all queued requests after the process was paused. New ones are refused until the view has the new
     * incarnation, which may happen before or after this call.
     *
     * @param next the new incarnation
     */
    void onPaused(Incarnation next, TimePoint now, DispatchActions &actions);

    /** @return whether no request or feed is queued or in progress */
    bool idle() const;
    PoolReport report(TimePoint now) const;
    PoolStatus status(TimePoint now) const;
    FlowExplanation explain(FlowId flow) const;
    /** @return the target's state and its latest changes, or nothing when it is not a target of the pool */
    std::optional<TargetExplanation> explainTarget(TargetId target) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/**
 * Finds the dispatcher of a pool by rendezvous hashing over the hosts of the zone that accept new work.
 *
 * @param pool a pool of the view's zone
 * @param view the zone's members
 * @return the host, or nullptr when none accepts new work; never this host before it has joined its zone
 */
const HostRecord *dispatcherOf(const PoolId &pool, const FleetView &view);

} // namespace poplarroad

#endif
