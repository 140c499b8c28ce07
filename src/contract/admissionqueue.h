#ifndef POPLARROAD_CONTRACT_ADMISSIONQUEUE_H
#define POPLARROAD_CONTRACT_ADMISSIONQUEUE_H

#include "poplarroad/contract.h"
#include "poplarroad/request.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace poplarroad
{

/** A request that is waiting for a slot. */
struct QueuedRequest
{
    RequestId id;
    KindId kind;
    TimePoint deadline;
    std::optional<TargetId> target; ///< target of its established flow; nullopt for a new flow
    std::optional<TargetId> avoid; ///< target that refused or lost the request before
};

/** Current capacity and load of the pool, from which the wait is estimated. */
struct PoolCapacity
{
    std::uint32_t limit = 0; ///< of the pool
    std::uint32_t targetLimit = 0; ///< of the target of the request's flow; 0 for a new flow
    std::uint32_t inProgress = 0;
    Microseconds serviceTime{ 0 }; ///< mean time in a slot; 0 when unknown
};

/** A request that has left the queue for a slot at a target. */
struct AssignedRequest
{
    QueuedRequest request;
    TargetId target;
};

/**
 * Queue of one pool for requests that occupy slots.
 *
 * Kinds below their minimum share go first, then the others by urgency and weight; within a kind the oldest request. A
 * request of an established flow waits for its own target without blocking others. No slot is reserved for later urgent
 * requests: one of 2 slots would be half, and an urgent request waits only until the next slot of its target is free.
 */
class AdmissionQueue
{
public:
    /** Returns a target with a free slot for the request, or nothing. */
    using TargetPicker = std::function<std::optional<TargetId>(const QueuedRequest &request)>;

    void setContracts(const std::vector<Contract> &contracts);
    /**
     * Decides immediately whether a request is accepted.
     *
     * @return nothing when it was queued, otherwise why it is refused
     */
    std::optional<NotRunReason> admit(const QueuedRequest &request, const PoolCapacity &capacity, TimePoint now);
    /** Removes the next request for which a target has a free slot. @return it with its target, or nothing */
    std::optional<AssignedRequest> next(const TargetPicker &pickTarget);
    /** Removes a request. @return whether it was in the queue */
    bool remove(RequestId id);
    /** Removes and returns the requests whose deadline has passed. */
    std::vector<RequestId> expire(TimePoint now);
    /** Lets the requests that wait for a target run at any target. */
    void unbind(TargetId target);
    /** @return all queued requests, oldest first */
    std::vector<RequestId> all() const;
    /** @return when the next deadline passes */
    TimePoint nextDeadline() const;
    std::size_t size() const
    {
        return entries_.size();
    }
    /** @return the urgency below which all requests are refused now; never includes a kind with a minimum share */
    Urgency shedBelow(TimePoint now) const;

    /** Time after a kind was last refused under overload during which its requests are still shed. */
    static constexpr Milliseconds ShedDuration{ 250 };

private:
    using TargetQueue = std::map<std::uint64_t, RequestId>; ///< by order of arrival
    struct KindQueue
    {
        Contract contract;
        std::map<std::optional<TargetId>, TargetQueue> targetQueues; ///< by the target that the requests wait for
        std::size_t queued = 0;
        double credit = 0.0; ///< dispatches that the minimum share entitles to
        TimePoint lastRefusal; ///< under overload
    };
    struct Entry
    {
        QueuedRequest request;
        std::uint64_t order = 0;
    };

    KindQueue *findKind(KindId kind);
    std::optional<NotRunReason> refusalOf(const KindQueue &kind, const QueuedRequest &request,
                                          const PoolCapacity &capacity, TimePoint now) const;
    Microseconds estimatedWait(const KindQueue &kind, const QueuedRequest &request, const PoolCapacity &capacity,
                               TimePoint now) const;
    static bool refusedRecently(const KindQueue &kind, TimePoint now);
    void insert(KindQueue &kind, const QueuedRequest &request, std::uint64_t order);
    void erase(RequestId id);
    std::optional<AssignedRequest> popOldest(KindQueue &kind, const TargetPicker &pickTarget);
    void updateCredits(KindQueue &served);

    std::vector<KindQueue> kinds_; ///< by descending urgency, then descending weight
    absl::flat_hash_map<RequestId, Entry> entries_;
    std::set<std::pair<TimePoint, RequestId>> deadlines_;
    std::uint64_t nextOrder_ = 0;
};

} // namespace poplarroad

#endif
