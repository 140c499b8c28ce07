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

/** Write the change to the store unless its number is taken; answer with onCreated(). */
struct CreateChange
{
    std::uint64_t operationId = 0;
    ConfigChange change;
};
/** Read change number `revision` from the store; answer with onRead(). */
struct ReadChange
{
    std::uint64_t operationId = 0;
    Revision revision;
};
/** Read the highest number whose change may have been removed from the store; answer with onFloor(). */
struct ReadFloor
{
    std::uint64_t operationId = 0;
};
/** The store holds these changes for certain; apply and push them. */
struct ApplyStoredChanges
{
    std::vector<ConfigChange> changes;
};
/** The store no longer holds the next change; a snapshot has to be loaded. */
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

/** How a create-if-absent ended. */
enum class CreateResult : std::uint8_t {
    Written,
    Taken, ///< another object has the number, or an earlier attempt of the same change
    NotWritten, ///< certainly without effect
    MayBeWritten, ///< the answer is lost or late
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

/** How a read of one change ended. */
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

/** Bounds of the writer. */
struct ConfigWriterLimits
{
    std::size_t maxChangesInProgress = 64; ///< further calls are answered `unreachable` at once
    Milliseconds deadline{ 5000 }; ///< from the call to its answer
    Milliseconds initialBackoff{ 50 }; ///< upper bound of the jitter before the first retry; doubles
    Milliseconds maxBackoff{ 1000 };
};

/**
 * Writes operators' changes to the store's log, one after the other, and answers each with what is certain.
 *
 * Removed numbers of the log can be created again by a writer that is far behind. Whatever was written or read is
 * therefore taken as part of the log only after a later read of the floor shows that its number was not removed.
 *
 * It does no input or output. One task owns it. The task applies ApplyStoredChanges to the replica before it calls again.
 */
class ConfigWriter
{
public:
    /** @param seed for the jitter, so that a run can be repeated */
    ConfigWriter(ConfigReplica &replica, ConfigWriterLimits limits, std::uint64_t seed);

    /** Takes an operator's call; `call` comes back in ReplyToOperator. */
    void submit(std::uint64_t call, ChangeRequest request, TimePoint now, ConfigWriterActions &actions);
    void onCreated(std::uint64_t operationId, CreateResult result, TimePoint now, ConfigWriterActions &actions);
    /** @param change set when the result is Found */
    void onRead(std::uint64_t operationId, ReadResult result, const std::optional<ConfigChange> &change, TimePoint now,
                ConfigWriterActions &actions);
    /** @param floor the floor, or nothing when the read failed */
    void onFloor(std::uint64_t operationId, std::optional<Revision> floor, TimePoint now, ConfigWriterActions &actions);
    /** Handles deadlines and retries; to be called at nextTimer(), and after ApplyStoredChanges were applied. */
    void onTimer(TimePoint now, ConfigWriterActions &actions);
    /** @return when onTimer() has to be called next */
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
        std::optional<Revision> attemptedRevision; ///< number under which the change may be in the store
        std::optional<Revision> searchedUpTo; ///< numbers up to this one were searched for the change id
    };
    enum class Step : std::uint8_t {
        Idle,
        Resume, ///< waits for `retryAt_`, then looks at the replica again
        SearchFloor, ///< reads the floor before a search
        Search, ///< reads old changes that the replica's log does not reach
        CatchUp, ///< reads the next change, because the operator knows a newer revision
        Create,
        ReadBack,
        Verify, ///< reads the floor for `candidate_`
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
    std::deque<Call> calls_; ///< the first one is being written
    Step step_ = Step::Idle;
    std::uint64_t operationId_ = 0; ///< of the store call whose answer is awaited; answers to others are ignored
    bool mayBeWritten_ = false; ///< the first call's change may be in the store at attemptedRevision
    ConfigChange candidate_; ///< created or read, to be verified against the floor
    TimePoint retryAt_ = TimePoint::max();
    unsigned failures_ = 0;
};

} // namespace poplarroad

#endif
