#ifndef POPLARROAD_SERVICE_DISPATCHERIMPL_H
#define POPLARROAD_SERVICE_DISPATCHERIMPL_H

#include "contract/admissionqueue.h"
#include "contract/callerlimits.h"
#include "contract/retrybudget.h"
#include "flowtable.h"
#include "poplarroad/dispatcher.h"
#include "poplarroad/targetpool.h"
#include "requeststore.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <set>

namespace poplarroad
{

/** Whether a retry consumes the retry budget of the pool. */
enum class RetryCost : std::uint8_t {
    Charged,
    Free, ///< this balancer caused the failure by probing the target and limits how often it does so
};

/**
 * State and logic of a Dispatcher, implemented in these files:
 * - dispatcherview.cpp: configuration, view of the zone, timers
 * - dispatchercallers.cpp: messages of callers
 * - dispatcherwork.cpp: a request from admission to its reply
 * - dispatchertargets.cpp: events of targets
 */
class Dispatcher::Impl
{
public:
    Impl(PoolId pool, std::uint64_t seed);

    // Configuration, view of the zone and timers.
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    void onTimer();
    TimePoint nextTimer() const;
    void onPaused(Incarnation next);
    /** @return the host that dispatches the pool, or nothing when it is this one or there is none */
    std::optional<HostAddress> otherDispatcher() const;
    void takeOverPool();
    bool leaving() const;
    /** @return whether this process may issue tokens that bind non-idempotent requests to it */
    bool canIssueTokens() const;

    // Messages of callers.
    void onMessage(RequestMessage message, const ReturnPath &path);
    void onMessage(CancelMessage message, const ReturnPath &path);
    void onMessage(RenewMessage message, const ReturnPath &path);
    void onMessage(CloseMessage message, const ReturnPath &path);

    // Events of targets.
    void onEvent(TargetResult event);
    void onEvent(TargetRefused event);
    void onEvent(TargetLost event);
    void onEvent(TargetReport event);

    PoolReport report(TimePoint at) const;
    std::optional<TargetId> explainTarget(FlowId flow);
    std::size_t indexedTargets() const
    {
        return targetIds_.size();
    }

    PoolId pool;
    ConfigurationPtr configuration;
    std::shared_ptr<const FleetView> view;
    TargetPool targets;
    AdmissionQueue queue;
    CallerLimits callers;
    RetryBudget retries;
    FlowTable flows;
    RequestStore requests;
    PoolStatus counters;
    TimePoint now; ///< time of the call in progress
    DispatchActions *actions = nullptr; ///< output of the call in progress

private:
    // Messages of callers.
    void onNonIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path);
    void onIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path);
    void onUnknownContract(const RequestMessage &message, const ReturnPath &path);
    /** Replies to a non-idempotent request that carries no token bound to a dispatcher; such a request is never run. */
    void onMissingToken(const RequestMessage &message, const ReturnPath &path);
    /** @return why this process may not run the request by its token, or nothing when it may */
    std::optional<UnknownReason> tokenError(const RequestMessage &message) const;
    /** Replies when the sequence window of the flow rules out a run of the request. @return whether it replied */
    bool replyFromWindow(const Flow &flow, const RequestMessage &message, bool idempotent, const ReturnPath &path);
    /** @return whether the token names another dispatcher process than this one, or none */
    bool isFromOtherProcess(const FlowToken &token) const;
    void onDuplicate(const CompletedRequest &completed, const RequestMessage &message, const ReturnPath &path);
    void onDuplicate(RequestRecord &record, const RequestMessage &message, const ReturnPath &path);
    /**
     * Sets the flow's target to that of the token when the token is more recent than what this process knows.
     *
     * @param sequence sequence number of the request that carries the token; 0 for a renewal
     */
    void applyTokenTarget(Flow &flow, const std::optional<FlowToken> &token, std::uint64_t sequence);
    RequestRecord &addRecord(RequestMessage message, const Contract &contract, Flow *flow, const ReturnPath &path);
    void cancel(RequestRecord &record);

    // A request from admission to its reply.
    void admit(RequestRecord &record);
    /** Starts a feed, or queues any other request, or refuses the request when no target accepts it. */
    void place(RequestRecord &record);
    bool startFeed(RequestRecord &record);
    /**
     * Picks a new target by rendezvous hashing for a flow whose target cannot answer any more. While two balancers both
     * dispatch the pool, they pick the same one.
     */
    std::optional<TargetId> replacementTarget(FlowId flow) const;
    void enqueue(RequestRecord &record, std::optional<TargetId> target);
    void removeFromQueue(RequestRecord &record);
    /** Dispatches queued requests while targets have room. */
    void dispatchQueued();
    void dispatch(RequestRecord &record, TargetId target);
    /** Records the outcome of the attempt at the current target; the request is then to be placed or finished. */
    void endAttempt(RequestRecord &record, TargetOutcome outcome);
    /**
     * Places the request again, avoiding its last target, when contract, deadline and retry budget allow it.
     *
     * @return whether it was placed again
     */
    bool retry(RequestRecord &record, RetryCost cost = RetryCost::Charged);
    /** Moves feeds away from targets that cannot answer any more, where another target has room. */
    void moveFeeds();
    /** @return whether the position is the next one of the feed and has to be sent to the caller */
    bool acceptPosition(RequestRecord &feed, std::uint64_t position);
    /** Restarts a feed after the last position that its caller received. */
    void restartFeed(RequestRecord &feed, const RequestMessage &message);
    /** Replies that the request was not run, or that this is unknown when an earlier attempt may have run it. */
    void refuse(RequestRecord &record, NotRunReason reason);
    void finishUnknown(RequestRecord &record, UnknownReason reason);
    void finish(RequestRecord &record, CallerReply reply);
    void send(const ReturnPath &path, CallerReply reply);
    std::optional<TargetId> targetOf(const Flow &flow) const;
    void setTarget(Flow &flow, TargetId target);
    /** @return a token of the flow; one that binds to no dispatcher while canIssueTokens() is false, or nothing */
    std::optional<FlowToken> issueToken(FlowId flow);
    NotRunMessage notRunReply(const RequestMessage &message, NotRunReason reason) const;
    static UnknownMessage unknownReply(const RequestMessage &message, UnknownReason reason);
    PoolCapacity capacity(std::optional<TargetId> target) const;
    /** @return the request when it is dispatched to the target, or nullptr */
    RequestRecord *findDispatched(TargetId target, RequestId id);
    /** Assigns the index by which flow records refer to the target. */
    void indexTarget(TargetId target);
    /** Drops removed targets from the index when they outnumber the declared ones by TargetIndexSlack. */
    void compactTargetIndex(std::size_t declared);
    /** @return whether the view still lacks the incarnation that this process took after its last pause */
    bool paused() const;

    absl::flat_hash_set<Incarnation> pastIncarnations_;
    TimePoint takeoverUntil_; ///< this process dispatches the pool until then, whatever the view says
    std::optional<Incarnation> awaitedIncarnation_; ///< taken after a pause, until a view contains it
    std::vector<TargetId> targetIds_; ///< a flow record holds an index into this list
    absl::flat_hash_map<TargetId, std::uint16_t> targetIndex_;
    std::set<std::pair<TimePoint, RequestId>> running_; ///< dispatched requests by deadline
};

} // namespace poplarroad

#endif
