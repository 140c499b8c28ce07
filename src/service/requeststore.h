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
    Completed, ///< answered, not run or unknown; the reply is kept in a CompletedRequest
};

/** What a dispatcher knows of one request. */
struct RequestRecord
{
    RequestMessage request;
    Contract contract;
    std::vector<ReturnPath> returnPaths; ///< the latest last, at most MaxReturnPaths
    RequestState state = RequestState::Admitting;
    TimePoint deadline;
    TargetId target; ///< while dispatched
    TimePoint dispatchedAt;
    std::optional<TargetId> avoid;
    std::optional<TargetId> queuedTarget; ///< target whose queue counts the request
    std::uint32_t attempts = 0;
    bool countedInFlow = false; ///< in the active requests of its flow
    bool countedForCaller = false; ///< in the limit of its caller
    bool mayHaveRun = false; ///< written to a target that did not refuse it explicitly
    bool restarted = false; ///< feeds: results of an earlier run may still arrive from the same target
    std::uint64_t lastPosition = 0; ///< feeds: the last position passed on

    bool isFeed() const
    {
        return contract.occupancy == Occupancy::Connection;
    }
    /** Adds a return path; the oldest one gives way. */
    void addReturnPath(const ReturnPath &path);

    static constexpr std::size_t MaxReturnPaths = 2;
};

/**
 * What is kept of a request that has ended. It is apart from RequestRecord because these records are by far the most:
 * ten seconds of requests, against those that run or wait.
 */
struct CompletedRequest
{
    RequestId id;
    CallerId caller;
    bool idempotent = true;
    TimePoint expiresAt; ///< when it is dropped
    CallerReply reply;
};

/** The records of the requests of one pool; final ones are kept for a time and up to a number of bytes. */
class RequestStore
{
public:
    static constexpr std::chrono::seconds RetentionTime{ 10 };
    static constexpr std::size_t MaxCompletedBytes = 16U << 20U; ///< of final records in one pool

    /** @return the record of a request that has not ended, or nullptr */
    RequestRecord *find(RequestId id);
    /** @return the record of a request that has ended, or nullptr; valid until the next change */
    const CompletedRequest *findCompleted(RequestId id) const;
    RequestRecord &add(std::unique_ptr<RequestRecord> record);
    /** Forgets a final record, so that an idempotent request can run again. */
    void eraseCompleted(RequestId id);
    /**
     * Keeps the reply of a request that has ended, for a time. The record itself stays valid until the next call of
     * add() or expire().
     */
    void complete(const RequestRecord &record, CallerReply reply, TimePoint now);
    /** Drops the final records whose time is over. */
    void expire(TimePoint now);
    TimePoint nextExpiry() const;
    /** @return the requests that are not final and for which the condition holds, in the order of their ids */
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
    std::vector<std::unique_ptr<RequestRecord>> justCompleted_; ///< callers of complete() may still refer to them
    std::deque<CompletedRequest> completed_; ///< in the order in which the requests ended
    std::uint64_t firstSerial_ = 0; ///< serial number of the first element of completed_
    absl::flat_hash_map<RequestId, std::uint64_t> completedIndex_; ///< serial number in completed_
    std::size_t completedBytes_ = 0;
};

} // namespace poplarroad

#endif
