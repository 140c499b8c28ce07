#ifndef POPLARROAD_SERVICE_CONFIGWRITER_H
#define POPLARROAD_SERVICE_CONFIGWRITER_H

#include "configreplica.h"

#include "poplarroad/clock.h"
#include "poplarroad/configsync.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Write the change to the store unless an object with its revision exists; answer with onCreated(). */
struct CreateChange
{
    std::uint64_t operationId = 0;
    ConfigChange change;
};
/** Read the change with this revision from the store; answer with onRead(). */
struct ReadChange
{
    std::uint64_t operationId = 0;
    Revision revision;
};
/** Read the floor, the highest revision whose change may have been removed from the store; answer with onFloor(). */
struct ReadFloor
{
    std::uint64_t operationId = 0;
};
/** Apply and push these changes, which are known to be in the store. */
struct ApplyStoredChanges
{
    std::vector<ConfigChange> changes;
};
/** Load a snapshot, because the next change was removed from the store. */
struct LoadSnapshot
{
};
/** Answer an operator's call. */
struct ReplyToOperator
{
    std::uint64_t call = 0;
    ChangeOutcome outcome;
};

using ConfigWriterAction =
    std::variant<CreateChange, ReadChange, ReadFloor, ApplyStoredChanges, LoadSnapshot, ReplyToOperator>;
using ConfigWriterActions = std::vector<ConfigWriterAction>;

/** Result of a conditional create (create if absent). */
enum class CreateResult : std::uint8_t {
    Written,
    Taken, ///< the revision exists already, written by another change or by an earlier attempt at this one
    NotWritten, ///< known to have had no effect
    MayBeWritten, ///< the store's answer was lost or timed out
};

template<>
struct EnumNames<CreateResult>
{
    static constexpr std::array table{
        EnumName<CreateResult>{ CreateResult::Written, "written" },
        EnumName<CreateResult>{ CreateResult::Taken, "taken" },
        EnumName<CreateResult>{ CreateResult::NotWritten, "not-written" },
        EnumName<CreateResult>{ CreateResult::MayBeWritten, "may-be-written" },
    };
};

/** Result of reading one change. */
enum class ReadResult : std::uint8_t {
    Found,
    Absent,
    Failed,
};

template<>
struct EnumNames<ReadResult>
{
    static constexpr std::array table{
        EnumName<ReadResult>{ ReadResult::Found, "found" },
        EnumName<ReadResult>{ ReadResult::Absent, "absent" },
        EnumName<ReadResult>{ ReadResult::Failed, "failed" },
    };
};

/** Limits and timing of the writer. */
struct ConfigWriterLimits
{
    std::size_t maxChangesInProgress = 64; ///< more calls are answered `unreachable` at once
    Milliseconds deadline{ 5000 }; ///< from a call to its reply
    Milliseconds initialBackoff{ 50 }; ///< upper bound of the random delay before the first retry; doubles
    Milliseconds maxBackoff{ 1000 }; ///< largest upper bound of the random delay
};

/**
 * Writes operators' changes to the change log in the store, one at a time, and reports a result only when it is
 * certain.
 *
 * A writer that is far behind can create a change again under a revision that was removed from the store. A change that
 * was written or read therefore counts as part of the log only after a later read of the floor shows that its revision
 * was not removed.
 *
 * Performs no I/O: it appends the actions that the owning task has to carry out. The task applies ApplyStoredChanges to
 * the replica before its next call.
 */
class ConfigWriter
{
public:
    /** @param seed of the random delays, for reproducible runs */
    ConfigWriter(ConfigReplica &replica, ConfigWriterLimits limits, std::uint64_t seed);

    /** Queues an operator's call; `call` identifies it in ReplyToOperator. */
    void submit(std::uint64_t call, ChangeRequest request, TimePoint now, ConfigWriterActions &actions);
    void onCreated(std::uint64_t operationId, CreateResult result, TimePoint now, ConfigWriterActions &actions);
    /** @param change the change that was read; set if the result is Found */
    void onRead(std::uint64_t operationId, ReadResult result, const std::optional<ConfigChange> &change, TimePoint now,
                ConfigWriterActions &actions);
    /** @param floor nothing if the read failed */
    void onFloor(std::uint64_t operationId, std::optional<Revision> floor, TimePoint now, ConfigWriterActions &actions);
    /** Handles deadlines and retries. Has to be called at nextTimer() and after each ApplyStoredChanges. */
    void onTimer(TimePoint now, ConfigWriterActions &actions);
    /** @return when onTimer() has to be called next; TimePoint::max() if no call is in progress */
    TimePoint nextTimer() const;
    std::size_t inProgress() const
    {
        return calls_.size();
    }

private:
    struct Call
    {
        std::uint64_t number = 0;
        ChangeRequest request;
        TimePoint deadline;
        std::optional<Revision> attemptedRevision; ///< revision under which the change may be in the store
        std::optional<Revision> searchedUpTo; ///< the store was searched for the change id up to this revision
    };
    enum class Step : std::uint8_t {
        Idle,
        Resume, ///< waits for `retryAt_`, then starts over from the replica
        SearchFloor, ///< reads the floor before searching the store
        Search, ///< reads changes that are older than the replica's log, to find the change id
        CatchUp, ///< reads the next change, since the call is based on a newer revision than the replica's
        Create, ///< writes the change
        ReadBack, ///< reads the attempted revision to find out which change it holds
        Verify, ///< reads the floor to check that the revision of `candidate_` was not removed
    };

    void resume(TimePoint now, ConfigWriterActions &actions);
    bool finishFromReplica(Call &call, TimePoint now, ConfigWriterActions &actions);
    bool searchStore(Call &call, ConfigWriterActions &actions);
    std::optional<ChangeOutcome> validate(const Call &call) const;
    void create(Call &call, ConfigWriterActions &actions);
    void read(Step step, Revision revision, ConfigWriterActions &actions);
    void onSearchFloor(std::optional<Revision> floor, TimePoint now, ConfigWriterActions &actions);
    void onSearched(ReadResult result, const std::optional<ConfigChange> &change, TimePoint now,
                    ConfigWriterActions &actions);
    void onAbsent(TimePoint now, ConfigWriterActions &actions);
    void verify(const ConfigChange &candidate, ConfigWriterActions &actions);
    void resumeAt(TimePoint due);
    void retryLater(TimePoint now);
    void finish(ChangeOutcome outcome, TimePoint now, ConfigWriterActions &actions);
    void expireCalls(TimePoint now, ConfigWriterActions &actions);
    bool isCurrent(std::uint64_t operationId, Step step) const;
    std::uint64_t beginOperation(Step step);

    ConfigReplica &replica_;
    ConfigWriterLimits limits_;
    std::mt19937_64 random_;
    std::deque<Call> calls_; ///< the first one is being processed
    Step step_ = Step::Idle;
    std::uint64_t operationId_ = 0; ///< of the pending store operation; answers to earlier ones are ignored
    bool mayBeWritten_ = false; ///< a write of the first call may have taken effect, at its attemptedRevision
    ConfigChange candidate_; ///< change that was written or read and still has to be checked against the floor
    TimePoint retryAt_ = TimePoint::max();
    unsigned failures_ = 0;
};

} // namespace poplarroad

#endif
