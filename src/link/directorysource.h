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
    Revision revision; ///< the result includes all changes up to it
    bool complete = false; ///< the result is the whole part, not only the changes to it
    ServiceMapPtr services; ///< nullptr when there are none or they have not changed
    std::vector<TargetChange> targets;
    std::uint32_t refusedEntries = 0; ///< entries that do not describe a usable target
};

/** Where services and targets are published; an interface, so that tests can replace the platform. */
class DirectorySource
{
public:
    using Callback = std::function<void(DirectoryResult)>;

    virtual ~DirectorySource() = default;
    /** Reads one whole part. The callback is called later, exactly once, in the thread of the owner. */
    virtual void read(DirectoryPart part, Callback callback) = 0;
    /**
     * Waits for changes of one part.
     *
     * @param after revision up to which all changes are known already
     * @param wait how long the store delays its response while there are no changes
     * @param callback gets the changes, none after a timeout; NotFound when the store no longer has the history
     */
    virtual void watch(DirectoryPart part, Revision after, Milliseconds wait, Callback callback) = 0;
};

} // namespace poplarroad

#endif
