#ifndef POPLARROAD_SERVICE_DIRECTORYWATCHER_H
#define POPLARROAD_SERVICE_DIRECTORYWATCHER_H

#include "link/directorysource.h"
#include "poplarroad/clock.h"
#include "zone/seededrandom.h"

#include <optional>
#include <variant>

namespace poplarroad
{

/** Read one part of the directory completely. */
struct ReadPart
{
};

/** Wait for changes of one part. */
struct WatchPart
{
    Revision after;
    Milliseconds wait{ 0 }; ///< how long the store holds the call if nothing changes
};

using StoreCall = std::variant<ReadPart, WatchPart>;

/**
 * Schedules the store calls for one part of the directory: a complete read first, then watches (long polls) for
 * changes.
 *
 * One call is in progress at a time. Calls are numbered, so that late answers to earlier calls are recognized.
 */
class DirectoryWatcher
{
public:
    /** Delay of the next watch after a change, so that changes in quick succession arrive in one answer. */
    static constexpr Milliseconds BatchDelay{ 150 };
    /** Backoff after the first failed call; doubles up to MaxBackoff. */
    static constexpr Milliseconds InitialBackoff{ 50 };
    /** Targets write lapsed entries again within 2 s of the store's return, so it has to be noticed well before. */
    static constexpr Milliseconds MaxBackoff{ 800 };

    /** @param wait how long the store holds a watch; each one costs a call and renews lastContact() */
    DirectoryWatcher(Milliseconds wait, std::uint64_t seed)
        : wait_(wait)
        , random_(seed)
    {
    }

    /** A store call to make now. */
    struct DueCall
    {
        StoreCall call;
        std::uint64_t number = 0; ///< to be passed to onAnswer()
    };
    /** @return the call to make now, or nothing if one is in progress or none is due */
    std::optional<DueCall> next(TimePoint now);
    /** Handles the answer to a call. @return whether it answers the current call and its content is valid */
    bool onAnswer(std::uint64_t number, const DirectoryResult &answer, TimePoint now);
    /** Starts or stops watching the store. The part is read completely once in either case. */
    void setFollowing(bool following, TimePoint now);
    /** Abandons the call in progress, which may never be answered, and reads the part completely. */
    void restart(TimePoint now);
    /** @return when next() has to be called next; TimePoint::max() while a call is in progress */
    TimePoint nextTimer() const
    {
        return inProgress_ ? TimePoint::max() : nextCallAt_;
    }
    /** @return when the store last answered without an error */
    std::optional<TimePoint> lastContact() const
    {
        return lastContact_;
    }
    Revision revision() const
    {
        return revision_;
    }

private:
    void backOff(TimePoint now);

    Milliseconds wait_;
    SeededRandom random_;
    Revision revision_; ///< all changes up to it are known; 0 before the first read
    bool following_ = true;
    bool inProgress_ = false;
    std::uint64_t number_ = 0;
    TimePoint nextCallAt_;
    Milliseconds backoff_ = InitialBackoff;
    std::optional<TimePoint> lastContact_;
};

} // namespace poplarroad

#endif
