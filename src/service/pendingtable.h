#ifndef POPLARROAD_SERVICE_PENDINGTABLE_H
#define POPLARROAD_SERVICE_PENDINGTABLE_H

#include "poplarroad/clock.h"
#include "poplarroad/request.h"
#include "poplarroad/service.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <queue>
#include <vector>

namespace poplarroad
{

/** Identifies the pending request that a reply belongs to; a token renewal has sequence 0. */
struct PendingKey
{
    ServiceId service;
    CallerId caller;
    RequestId id;
    std::uint64_t endpoint = 0;

    friend constexpr auto operator<=>(const PendingKey &, const PendingKey &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const PendingKey &key)
    {
        return Hash::combine(std::move(state), key.service, key.caller, key.id, key.endpoint);
    }
};

/** How long after the deadline the dispatcher's reply may still arrive: ten times the longest delay of a link. */
inline constexpr Milliseconds DeadlineGrace{ 50 };

/** A request for which this ingress expects a reply. */
struct PendingRequest
{
    TimePoint deadline; ///< deadline of the caller
    TimePoint due; ///< when the router has to handle it next: to retry it or to report its outcome as unknown
    TimePoint timerAt; ///< time of the only valid timer of the entry; maintained by the table
    HostAddress host; ///< the host it was sent to
    PoolId pool;
    std::unique_ptr<CallerMessage> message; ///< stored for a retry, only for idempotent requests
    std::uint32_t retries = 0;
    std::uint64_t position = 0; ///< feeds: position of the last answer sent to the caller
    bool feed = false;
    bool tokenBound = false; ///< non-idempotent with a token, so only the dispatcher of the token may run it
    bool retryScheduled = false; ///< waits for the delay before a retry
    bool mayHaveRun = false; ///< an earlier attempt may have run, so a refusal of a later one proves nothing
};

/** Pending requests of an ingress, found by key and by due time; bounded in number and in memory. */
class PendingTable
{
public:
    /** @return the entry, or nullptr */
    PendingRequest *find(const PendingKey &key);
    /** @return whether the table has room for another entry */
    bool hasRoom() const;
    /** Adds or replaces an entry; drops its message when the stored messages would take too much memory. */
    PendingRequest &put(const PendingKey &key, PendingRequest pending);
    void erase(const PendingKey &key);
    /** Sets the time at which the entry is due next. */
    void schedule(const PendingKey &key, PendingRequest &pending, TimePoint due);
    /** @return the key of an entry that is due, or nothing; the caller has to schedule the entry again or erase it */
    std::optional<PendingKey> popDue(TimePoint now);
    /** @return a time not later than that at which the next entry is due */
    TimePoint nextDue() const;
    /** @return the entries that wait for a reply from the host, ordered by key */
    std::vector<PendingKey> requestsSentTo(const HostAddress &host) const;
    /** @return the feeds of which the caller was sent an answer, or which resumed after one */
    std::vector<PendingKey> feedsWithPosition() const;
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Timer
    {
        TimePoint at;
        PendingKey key;
        bool operator>(const Timer &other) const
        {
            return at > other.at;
        }
    };

    absl::flat_hash_map<PendingKey, PendingRequest> entries_;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_; ///< may contain timers of erased entries
    std::size_t retryBytes_ = 0;
};

} // namespace poplarroad

#endif
