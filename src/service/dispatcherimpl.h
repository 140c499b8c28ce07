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

/** Whether a retry is taken from the budget of the pool. */
enum class RetryCost : std::uint8_t {
    Charged,
    Free, ///< the failure was brought about by this balancer and bounded by it
};

/** State and rules of a Dispatcher. The parts are in dispatcher{view,callers,work,targets}.cpp. */
class Dispatcher::Impl
{
public:
    Impl(PoolId pool, std::uint64_t seed);

    // View, configuration and time.
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    void onTimer();
    TimePoint nextTimer() const;
    void onPaused(Incarnation next);
    /** @return the host that dispatches the pool now, when it is another one */
    std::optional<HostAddress> otherDispatcher() const;
    void takeOverPool();
    bool leaving() const;
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
    TimePoint now; ///< of the call in progress
    DispatchActions *actions = nullptr; ///< of the call in progress

private:
    // Callers.
    void onNonIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path);
    void onIdempotent(RequestMessage message, const Contract &contract, const ReturnPath &path);
    void onUnknownContract(const RequestMessage &message, const ReturnPath &path);
    void onMissingToken(const RequestMessage &message, const ReturnPath &path);
    /** @return why the token does not allow this process to run the request, or nothing when it does */
    std::optional<UnknownReason> tokenError(const RequestMessage &message) const;
    /** Replies from the flow's window when the number was seen before. @return whether it did */
    bool replyFromWindow(const Flow &flow, const RequestMessage &message, bool idempotent, const ReturnPath &path);
    bool isFromOtherProcess(const FlowToken &token) const;
    void onDuplicate(const CompletedRequest &completed, const RequestMessage &message, const ReturnPath &path);
    void onDuplicate(RequestRecord &record, const RequestMessage &message, const ReturnPath &path);
    /** @param sequence of the request that carries the token; 0 for a renewal */
    void applyTokenTarget(Flow &flow, const std::optional<FlowToken> &token, std::uint64_t sequence);
    RequestRecord &record(RequestMessage message, const Contract &contract, Flow *flow, const ReturnPath &path);
    void cancel(RequestRecord &record);

    // Work: from admission to the outcome.
    void admit(RequestRecord &record);
    void place(RequestRecord &record);
    bool startFeed(RequestRecord &record);
    /**
     * Picks the new target of a flow whose target cannot answer any more, by hashing: while two balancers take each other's
     * pool for theirs, both pick the same one.
     */
    std::optional<TargetId> replacementTarget(FlowId flow) const;
    void enqueue(RequestRecord &record, std::optional<TargetId> target);
    void removeFromQueue(RequestRecord &record);
    void dispatchQueued();
    void dispatch(RequestRecord &record, TargetId target);
    void endAttempt(RequestRecord &record, TargetOutcome outcome);
    bool retry(RequestRecord &record, RetryCost cost = RetryCost::Charged);
    void moveFeeds();
    /** @return whether the position is the next one of the feed and is to be passed on */
    bool acceptPosition(RequestRecord &feed, std::uint64_t position);
    /** Runs a feed again at its target from the last position that its caller has. */
    void restartFeed(RequestRecord &feed, const RequestMessage &message);
    void refuse(RequestRecord &record, NotRunReason reason);
    void finishUnknown(RequestRecord &record, UnknownReason reason);
    void finish(RequestRecord &record, CallerReply reply);
    void send(const ReturnPath &path, CallerReply reply);
    std::optional<TargetId> targetOf(const Flow &flow) const;
    void setTarget(Flow &flow, TargetId target);
    std::optional<FlowToken> issueToken(FlowId flow);
    NotRunMessage notRun(const RequestMessage &message, NotRunReason reason) const;
    static UnknownMessage unknown(const RequestMessage &message, UnknownReason reason);
    PoolCapacity capacity(std::optional<TargetId> target) const;
    RequestRecord *findDispatched(TargetId target, RequestId id);
    /** Gives a target the index by which flows name it. */
    void indexTarget(TargetId target);
    /** Takes the indexes of removed targets back when there are more of them than declared ones. */
    void compactTargetIndex(std::size_t declared);
    /** @return whether the view does not have the incarnation drawn after the last pause yet */
    bool paused() const;

    absl::flat_hash_set<Incarnation> pastIncarnations_;
    TimePoint takeoverUntil_; ///< until then this process dispatches the pool whatever the view says
    std::optional<Incarnation> awaitedIncarnation_; ///< drawn after a pause, until a view brings it
    std::vector<TargetId> targetIds_; ///< flows hold an index in here
    absl::flat_hash_map<TargetId, std::uint16_t> targetIndex_;
    std::set<std::pair<TimePoint, RequestId>> running_; ///< deadlines of dispatched requests
};

} // namespace poplarroad

#endif
