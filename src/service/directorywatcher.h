#ifndef POPLARROAD_SERVICE_DIRECTORYWATCHER_H
#define POPLARROAD_SERVICE_DIRECTORYWATCHER_H

#include "link/directorysource.h"
#include "poplarroad/clock.h"
#include "service/directorytiming.h"
#include "zone/seededrandom.h"

#include <optional>
#include <variant>

namespace poplarroad
{

/** Read one part of the directory completely. */
struct ReadPart
{
    ReadFreshness freshness = ReadFreshness::Current;
};

/** Wait for changes of one part. */
struct WatchPart
{
    Revision after;
    Milliseconds wait{ 0 }; ///< how long the store holds the call if nothing changes
};

using StoreCall = std::variant<ReadPart, WatchPart>;

/** Why a call to the store is made. */
enum class StoreCallReason : std::uint8_t {
    Start,
    Takeover, ///< this balancer begins to follow the store
    Retry, ///< an earlier call failed
    CatchUp, ///< for the changes after a list that may be old
    Verify, ///< another balancer's list differs
    Watch,
};

template<>
struct EnumNames<StoreCallReason>
{
    static constexpr std::array table{
        EnumName<StoreCallReason>{ StoreCallReason::Start, "start" },
        EnumName<StoreCallReason>{ StoreCallReason::Takeover, "takeover" },
        EnumName<StoreCallReason>{ StoreCallReason::Retry, "retry" },
        EnumName<StoreCallReason>{ StoreCallReason::CatchUp, "catch-up" },
        EnumName<StoreCallReason>{ StoreCallReason::Verify, "verify" },
        EnumName<StoreCallReason>{ StoreCallReason::Watch, "watch" },
    };
};

/**
 * Schedules the store calls for one part of the directory.
 *
 * A balancer reads the part once at its start. While it follows the store it watches (long polls) for changes, after a
 * complete read; otherwise it makes no calls but those that catchUp() asks for.
 *
 * One call is in progress at a time. Calls are numbered, so that late answers to earlier calls are recognized.
 */
class DirectoryWatcher
{
public:
    /** Delay of the next watch after a change, so that changes in quick succession arrive in one answer. */
    static constexpr Milliseconds BatchDelay{ 150 };
    static constexpr Milliseconds InitialBackoff = DirectoryTiming::InitialBackoff;
    /** Targets write expired entries again within 2 s of the store's return, so it has to be noticed well before. */
    static constexpr Milliseconds MaxBackoff{ 800 };
    /** After a truncated list, how long a follower waits before it reads the part again. */
    static constexpr Milliseconds TruncatedRetryDelay{ 2000 };
    /** A list that was read this recently need not be read again when this balancer begins to follow the store. */
    static constexpr Milliseconds RecentRead{ 2000 };

    /**
     * @param wait how long the store holds a watch; each one costs a call and renews lastContact()
     * @param startFreshness whether the read at the start may be stale; the changes that it lacks are then to be
     *     requested from peers, or by catchUp()
     */
    DirectoryWatcher(Milliseconds wait, ReadFreshness startFreshness, std::uint64_t seed)
        : wait_(wait)
        , startFreshness_(startFreshness)
        , random_(seed)
    {
    }

    /** A store call to make now. */
    struct DueCall
    {
        StoreCall call;
        StoreCallReason reason = StoreCallReason::Start;
        std::uint64_t number = 0; ///< to be passed to onAnswer()
    };
    /** @return the call to make now, or nothing if one is in progress or none is due */
    std::optional<DueCall> next(TimePoint now);
    /** Handles the answer to a call. @return whether it answers the current call and its content is valid */
    bool onAnswer(std::uint64_t number, const DirectoryResult &answer, TimePoint now);
    /** Starts or stops watching the store. */
    void setFollowing(bool following, TimePoint now);
    /** Requests the changes after a revision once, or the complete part if the revision is 0; not while following. */
    void catchUp(Revision known, TimePoint now);
    /** Reads the complete part again while following, in place of the watch in progress. */
    void verify(TimePoint now);
    /** @return whether a complete read of the current contents is in progress or due */
    bool isReading() const
    {
        return step_ == Step::Read;
    }
    /** @return when a complete read of the current contents last ended; unset if none did */
    std::optional<TimePoint> completelyReadAt() const
    {
        return completelyReadAt_;
    }
    /** Ends the attempts to read the part at the start, since peers sent it. */
    void skipStart();
    /** Abandons the call in progress, which may never be answered; a follower reads the part completely. */
    void restart(TimePoint now);
    /** @return when next() has to be called next; TimePoint::max() while a call is in progress or none is needed */
    TimePoint nextTimer() const
    {
        return inProgress_ || step_ == Step::Idle ? TimePoint::max() : nextCallAt_;
    }
    /** @return when the store last answered without an error */
    std::optional<TimePoint> lastContact() const
    {
        return lastContact_;
    }
    /** @return since when each call was answered, counted anew when this balancer begins to follow or restarts */
    std::optional<TimePoint> answeringSince() const
    {
        return answeringSince_;
    }
    /** @return whether a call has failed at or after a time */
    bool failedSince(TimePoint time) const
    {
        return lastFailure_ && *lastFailure_ >= time;
    }
    /** @return whether the last call was not answered */
    bool isFailing() const
    {
        return failing_;
    }
    /** @return when the part was last known to be current, as the store itself said */
    std::optional<TimePoint> currentAt() const
    {
        return currentAt_;
    }
    Revision revision() const
    {
        return revision_;
    }

private:
    /** The kind of the call in progress or the next one. */
    enum class Step : std::uint8_t {
        Idle,
        StartRead,
        Read,
        CatchUp,
        Watch,
    };

    StoreCall callOf(Step step) const;
    void onFailure(StoreError error, TimePoint now);
    void begin(Step step, StoreCallReason reason, TimePoint at);
    void backOff(TimePoint now);

    Milliseconds wait_;
    ReadFreshness startFreshness_;
    SeededRandom random_;
    Revision revision_; ///< all changes up to it are known; 0 before the first read
    Step step_ = Step::StartRead;
    StoreCallReason reason_ = StoreCallReason::Start;
    bool following_ = false;
    bool inProgress_ = false;
    std::uint64_t number_ = 0;
    TimePoint nextCallAt_;
    Milliseconds backoff_ = InitialBackoff;
    bool failing_ = false;
    std::optional<TimePoint> lastContact_;
    std::optional<TimePoint> answeringSince_;
    std::optional<TimePoint> lastFailure_;
    std::optional<TimePoint> currentAt_;
    std::optional<TimePoint> completelyReadAt_;
    std::optional<TimePoint> readAgainAt_; ///< set after a truncated list
};

} // namespace poplarroad

#endif
