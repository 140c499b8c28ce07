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

/** What a reply has to name to belong to a pending request; a renewal has sequence 0. */
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

/** The dispatcher's own verdict at the deadline has this long to arrive: ten times the longest delay of a link. */
inline constexpr Milliseconds DeadlineGrace{ 50 };

/** A request whose reply is expected at this ingress. */
struct PendingRequest
{
    TimePoint deadline; ///< of the caller
    TimePoint due; ///< when the router has to look at it
    TimePoint timerAt; ///< of the entry's only valid timer; kept by the table
    HostAddress host; ///< where it was sent
    PoolId pool;
    std::unique_ptr<CallerMessage> message; ///< kept for a retry, only for idempotent work
    std::uint32_t retries = 0;
    std::uint64_t position = 0; ///< feeds: of the last answer that was passed on
    bool feed = false;
    bool tokenBound = false; ///< non-idempotent with a token
    bool retryScheduled = false; ///< for the delay before a retry
    bool mayHaveRun = false; ///< an earlier attempt may have run, so a refusal of a later one proves nothing
};

/** Pending requests of an ingress, found by what a reply names and by time; both are bounded. */
class PendingTable
{
public:
    /** @return the entry, or nullptr */
    PendingRequest *find(const PendingKey &key);
    /** @return whether another entry may be added */
    bool hasRoom() const;
    /** Adds or replaces an entry; the message is dropped when the kept messages take too much memory. */
    PendingRequest &put(const PendingKey &key, PendingRequest pending);
    void erase(const PendingKey &key);
    /** Sets when the entry is due next. */
    void schedule(const PendingKey &key, PendingRequest &pending, TimePoint due);
    /** @return the key of an entry that is due, which has to be scheduled again or erased; or nothing */
    std::optional<PendingKey> popDue(TimePoint now);
    /** @return a time not later than that of the next entry that is due */
    TimePoint nextDue() const;
    /** @return the entries that wait for a reply from the host */
    std::vector<PendingKey> requestsSentTo(const HostAddress &host) const;
    /** @return the feeds of which a position was passed on */
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
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_; ///< may name entries that are gone
    std::size_t retryBytes_ = 0;
};

} // namespace poplarroad

#endif
