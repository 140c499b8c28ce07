#ifndef POPLARROAD_SERVICE_REQUESTSTORE_H
#define POPLARROAD_SERVICE_REQUESTSTORE_H

#include "poplarroad/contract.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/request.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace poplarroad
{

/** State of a request at its dispatcher. */
enum class RequestState : std::uint8_t {
    Admitting, ///< recorded, not yet queued
    Queued,
    Dispatched,
    Completed, ///< answered, not run or unknown; the reply is stored in a CompletedRequest
};

/** A request that is being admitted, queued or run. */
struct RequestRecord
{
    RequestMessage request;
    Contract contract;
    std::vector<ReturnPath> returnPaths; ///< where to send the reply; latest last, at most MaxReturnPaths
    RequestState state = RequestState::Admitting;
    TimePoint deadline;
    TargetId target; ///< while dispatched
    TimePoint dispatchedAt;
    std::optional<TargetId> avoid; ///< target that the next attempt must not use
    std::optional<TargetId> queuedTarget; ///< target that counts the request as queued for it
    std::uint32_t attempts = 0;
    bool countedInFlow = false; ///< included in Flow::activeRequests
    bool countedForCaller = false; ///< counts towards the limit of its caller
    bool mayHaveRun = false; ///< sent to a target that did not refuse it explicitly
    bool restarted = false; ///< feeds: results of an earlier run may still arrive from the same target
    std::uint64_t lastPosition = 0; ///< feeds: the last position sent to the caller

    bool isFeed() const
    {
        return contract.occupancy == Occupancy::Connection;
    }
    /** Adds a return path, removing the oldest one when there are MaxReturnPaths. */
    void addReturnPath(const ReturnPath &path);

    static constexpr std::size_t MaxReturnPaths = 2;
};

/**
 * The reply to a completed request, stored for duplicates. Separate from RequestRecord to save memory: the completed
 * requests of RetentionTime far outnumber those that run or wait.
 */
struct CompletedRequest
{
    RequestId id;
    CallerId caller;
    bool idempotent = true;
    TimePoint expiresAt;
    CallerReply reply;
};

/** The requests of one pool; completed ones are kept for RetentionTime and up to MaxCompletedBytes. */
class RequestStore
{
public:
    static constexpr std::chrono::seconds RetentionTime{ 10 };
    static constexpr std::size_t MaxCompletedBytes = 16U << 20U;

    /** @return the request when it has not completed, or nullptr */
    RequestRecord *find(RequestId id);
    /** @return the request when it has completed and is still stored, or nullptr; valid until the next change */
    const CompletedRequest *findCompleted(RequestId id) const;
    RequestRecord &add(std::unique_ptr<RequestRecord> record);
    /** Forgets a completed request, so that an idempotent one can run again. */
    void eraseCompleted(RequestId id);
    /**
     * Stores the reply and removes the request from the active ones. The record stays valid until the next call of
     * add() or expire().
     */
    void complete(const RequestRecord &record, CallerReply reply, TimePoint now);
    /** Drops the completed requests that have expired. */
    void expire(TimePoint now);
    TimePoint nextExpiry() const;
    /** @return the requests that have not completed and meet the condition, ordered by id */
    template<typename Condition>
    std::vector<RequestId> findActive(Condition condition) const
    {
        std::vector<RequestId> ids;
        for (const RequestId &id : active_) {
            if (condition(*records_.at(id))) {
                ids.push_back(id);
            }
        }
        return ids;
    }
    std::size_t activeCount() const
    {
        return active_.size();
    }

private:
    void dropOldest();

    static std::size_t bytesOf(const CompletedRequest &record);

    absl::flat_hash_map<RequestId, std::unique_ptr<RequestRecord>> records_;
    std::set<RequestId> active_;
    std::vector<std::unique_ptr<RequestRecord>> justCompleted_; ///< callers of complete() may still use them
    std::deque<CompletedRequest> completed_; ///< in the order of completion
    std::uint64_t firstSerial_ = 0; ///< serial number of the first element of completed_; each element has the next one
    absl::flat_hash_map<RequestId, std::uint64_t> completedIndex_; ///< serial number of the element of completed_
    std::size_t completedBytes_ = 0;
};

} // namespace poplarroad

#endif
