#ifndef POPLARROAD_LINK_DIRECTORYSOURCE_H
#define POPLARROAD_LINK_DIRECTORYSOURCE_H

#include "link/objectstore.h"
#include "poplarroad/directory.h"

#include <functional>
#include <optional>
#include <vector>

namespace poplarroad
{

/** Result of a read or a watch of one part of the directory. */
struct DirectoryResult
{
    std::optional<StoreError> error;
    Revision revision; ///< everything up to it is included
    bool complete = false; ///< the answer is the whole part, not the changes to it
    ServiceMapPtr services; ///< nullptr when there is none, or no news
    std::vector<TargetChange> targets;
    std::uint32_t refusedEntries = 0; ///< entries that name no usable target
};

/** Where services and targets are published, an interface so that tests can replace the platform. */
class DirectorySource
{
public:
    using Callback = std::function<void(DirectoryResult)>;

    virtual ~DirectorySource() = default;
    /** Reads one part whole. The callback is called later, exactly once, in the thread of the owner. */
    virtual void read(DirectoryPart part, Callback callback) = 0;
    /**
     * Waits for changes of one part.
     *
     * @param after revision up to which the caller knows all changes
     * @param wait how long the store holds the call without news
     * @param callback gets the changes, none when the wait ran out; NotFound when the history is gone
     */
    virtual void watch(DirectoryPart part, Revision after, Milliseconds wait, Callback callback) = 0;
};

} // namespace poplarroad

#endif
