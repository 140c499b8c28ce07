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

/** A request that waits for a slot. */
struct QueuedRequest
{
    RequestId id;
    KindId kind;
    TimePoint deadline;
    std::optional<TargetId> target; ///< of its established flow; nothing for a new flow
    std::optional<TargetId> avoid; ///< refused or lost the request before
};

/** What the pool can do now, for the estimate of the wait. */
struct PoolCapacity
{
    std::uint32_t limit = 0; ///< of the pool
    std::uint32_t targetLimit = 0; ///< of the request's own target; 0 for a new flow
    std::uint32_t inProgress = 0;
    Microseconds serviceTime{ 0 }; ///< mean time in a slot; 0 when not known
};

/** Work that leaves the queue for a slot. */
struct AssignedRequest
{
    QueuedRequest request;
    TargetId target;
};

/**
 * Queue of one pool for work that occupies slots.
 *
 * Kinds below their minimum share go first, then the more urgent, then the heavier; within a kind the older. A request
 * of an established flow waits for its own target and does not hold up the others. No slot is kept free for work that
 * may come: of 2 slots that would be half, and urgent work waits only until the next slot of its target is free.
 */
class AdmissionQueue
{
public:
    /** Finds a target with room. */
    using TargetPicker = std::function<std::optional<TargetId>(const QueuedRequest &request)>;

    void setContracts(const std::vector<Contract> &contracts);
    /**
     * Decides at once whether work is accepted.
     *
     * @return nothing when it was queued, or why it is refused
     */
    std::optional<NotRunReason> admit(const QueuedRequest &request, const PoolCapacity &capacity, TimePoint now);
    /** @return the next work for which there is room; it has left the queue */
    std::optional<AssignedRequest> next(const TargetPicker &pickTarget);
    /** @return whether the request was queued; it has left the queue */
    bool remove(RequestId id);
    /** Removes and returns the work whose deadline has passed. */
    std::vector<RequestId> expire(TimePoint now);
    /** Lets the work that waits for a target run at any other. */
    void unbind(TargetId target);
    /** @return all queued requests, oldest first */
    std::vector<RequestId> all() const;
    /** @return when the next deadline passes */
    TimePoint nextDeadline() const;
    std::size_t size() const
    {
        return entries_.size();
    }
    /** @return the urgency below which everything is refused now; kinds with a minimum share are never included */
    Urgency shedBelow(TimePoint now) const;

    static constexpr Milliseconds ShedDuration{ 250 };

private:
    using TargetQueue = std::map<std::uint64_t, RequestId>; ///< by order of arrival
    struct KindQueue
    {
        Contract contract;
        std::map<std::optional<TargetId>, TargetQueue> targetQueues; ///< by the target that the work waits for
        std::size_t queued = 0;
        double credit = 0.0; ///< dispatches owed by the minimum share
        TimePoint lastRefusal;
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

    std::vector<KindQueue> kinds_; ///< the most urgent first, then the heaviest
    absl::flat_hash_map<RequestId, Entry> entries_;
    std::set<std::pair<TimePoint, RequestId>> deadlines_;
    std::uint64_t nextOrder_ = 0;
};

} // namespace poplarroad

#endif
