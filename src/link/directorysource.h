#ifndef POPLARROAD_LINK_DIRECTORYSOURCE_H
#define POPLARROAD_LINK_DIRECTORYSOURCE_H

#include "link/objectstore.h"
#include "poplarroad/directory.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Why an entry of the directory is not used. */
enum class EntryError : std::uint8_t {
    NotAnObject,
    NoName, ///< the name is missing or cannot be read
    MissingField,
    UnreadableField, ///< invalid encoding, or a number too large for any type
    WrongType,
    OutOfRange,
    InvalidValue, ///< for example an unknown state, or a text that is not an address
};

template<>
struct EnumNames<EntryError>
{
    static constexpr std::array table{
        EnumName<EntryError>{ EntryError::NotAnObject, "not-an-object" },
        EnumName<EntryError>{ EntryError::NoName, "no-name" },
        EnumName<EntryError>{ EntryError::MissingField, "missing-field" },
        EnumName<EntryError>{ EntryError::UnreadableField, "unreadable-field" },
        EnumName<EntryError>{ EntryError::WrongType, "wrong-type" },
        EnumName<EntryError>{ EntryError::OutOfRange, "out-of-range" },
        EnumName<EntryError>{ EntryError::InvalidValue, "invalid-value" },
    };
};

/** An entry that cannot be used. Other programs write to the store too, so any entry may hold anything. */
struct RefusedEntry
{
    std::string name; ///< of the entry, or the address of a route; shortened, empty if it cannot be read
    EntryError reason = EntryError::NotAnObject;
    std::string field; ///< empty if the reason does not concern a single field
    std::optional<TargetId> target; ///< set if the name is that of a target
    std::string value = {}; ///< of the field as it was written, shortened; empty if it is not reported
    std::string accepted = {}; ///< the values that the field accepts; empty if they are not reported
};

/** Result of a read or a watch of one part of the directory. */
struct DirectoryResult
{
    std::optional<StoreError> error;
    Revision revision; ///< the result includes all changes up to it; ordered by era, see storerevision.h
    bool complete = false; ///< the result is the whole part, not only the changes to it
    ServiceMapPtr services; ///< nullptr when there are none or they have not changed
    std::vector<TargetChange> targets;
    std::vector<RefusedEntry> refused; ///< listed entries that are not used; a known target among them stays as it is
    bool truncated = false; ///< a read that ended before the end of the list; not complete then
    std::vector<EvacuationChange> evacuations = {}; ///< listed ones, or changes in their order
    std::optional<std::string> refusedEra{}; ///< what the store sent in place of an era, shortened; it is ignored
    /** Of a list that was read in several calls, in the order of names; `revision` is that of the oldest one. */
    std::vector<ListSegment> segments{};
};

/** How current the result of a read has to be. */
enum class ReadFreshness : std::uint8_t {
    Current,
    MayBeStale, ///< as of some seconds ago; costs the store much less
};

/** Where services, targets and evacuations are published; an interface, so that tests can replace the platform. */
class DirectorySource
{
public:
    using Callback = std::function<void(DirectoryResult)>;

    virtual ~DirectorySource() = default;
    /** Reads one whole part. The callback is called later, exactly once, in the thread of the owner. */
    virtual void read(DirectoryPart part, ReadFreshness freshness, Callback callback) = 0;
    /**
     * Waits for changes of one part.
     *
     * @param after revision up to which all changes are known already
     * @param wait how long the store delays its response while there are no changes; 0 asks for those made so far
     * @param callback gets the changes, none after a timeout; NotFound when the store no longer has the history, or
     *     has another era than `after`
     */
    virtual void watch(DirectoryPart part, Revision after, Milliseconds wait, Callback callback) = 0;
};

} // namespace poplarroad

#endif
