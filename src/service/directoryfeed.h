#ifndef POPLARROAD_SERVICE_DIRECTORYFEED_H
#define POPLARROAD_SERVICE_DIRECTORYFEED_H

#include "link/directorysource.h"
#include "poplarroad/clock.h"
#include "zone/seededrandom.h"

#include <optional>
#include <variant>

namespace poplarroad
{

/** Read the whole part. */
struct ReadPart
{
};

/** Wait for changes. */
struct WatchPart
{
    Revision after;
    Milliseconds wait{ 0 };
};

using StoreCall = std::variant<ReadPart, WatchPart>;

/**
 * Decides when one part of the directory is read from the store and when it is watched.
 *
 * One call is in progress at a time. An answer that belongs to an earlier call is told by its number.
 */
class DirectoryWatcher
{
public:
    /** Pause after news, so that changes in quick succession come in one answer. */
    static constexpr Milliseconds BatchDelay{ 150 };
    /** First pause after a failed call; doubles up to MaxBackoff. */
    static constexpr Milliseconds InitialBackoff{ 50 };
    /** Entries that lapsed are back within 2 s of the store's return, so it has to be noticed well before. */
    static constexpr Milliseconds MaxBackoff{ 800 };

    /** @param wait how long the store holds a watch; each one that runs out costs a call, and shows that it is there */
    DirectoryWatcher(Milliseconds wait, std::uint64_t seed)
        : wait_(wait)
        , random_(seed)
    {
    }

    /** A call to make now. */
    struct DueCall
    {
        StoreCall call;
        std::uint64_t number = 0;
    };
    /** @return the call to make now, or nothing */
    std::optional<DueCall> next(TimePoint now);
    /** Takes the answer of a call. @return whether it belongs to the last call and is to be used */
    bool onAnswer(std::uint64_t number, const DirectoryAnswer &answer, TimePoint now);
    /** Watches, or leaves that to another balancer. The whole part is read once in any case. */
    void setFollowing(bool following, TimePoint now);
    /** Forgets the call in progress, which may never be answered, and reads the whole part. */
    void restart(TimePoint now);
    TimePoint nextTimer() const
    {
        return inProgress_ ? TimePoint::max() : nextCallAt_;
    }
    /** @return when the store last answered */
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
    Revision revision_; ///< everything up to it is known; 0 before the first answer
    bool following_ = true;
    bool inProgress_ = false;
    std::uint64_t number_ = 0;
    TimePoint nextCallAt_;
    Milliseconds backoff_ = InitialBackoff;
    std::optional<TimePoint> lastContact_;
};

} // namespace poplarroad

#endif
