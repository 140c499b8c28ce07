#ifndef POPLARROAD_LINK_STOREFOLLOWER_H
#define POPLARROAD_LINK_STOREFOLLOWER_H

#include "configstore.h"

#include "service/configreplica.h"

#include <functional>
#include <vector>

namespace poplarroad
{

/**
 * Fetches the changes from the store that a replica does not have yet.
 *
 * When the store no longer has all of these changes, it loads the latest snapshot first.
 */
class StoreFollower
{
public:
    /** Callbacks that get the fetched data; called in the thread of the owner. */
    struct Receivers
    {
        std::function<void(std::vector<ConfigChange>)> changes;
        std::function<void(ConfigurationPtr)> snapshot;
    };

    StoreFollower(ConfigStore &store, const ConfigReplica &replica, Receivers receivers);
    /**
     * Fetches until the store has no newer change. A call during a fetch starts another fetch after it.
     *
     * @param done called with whether the replica reached the end of the log; not called if a fetch is already running
     */
    void follow(std::function<void(bool)> done);

private:
    /** Largest number of changes delivered together; limits the memory used while catching up. */
    static constexpr std::size_t MaxBatchChanges = 250;

    void startFetch();
    void loadSnapshot();
    void readNextChange();
    void deliverBatch();
    void finish(bool complete);

    ConfigStore &store_;
    const ConfigReplica &replica_;
    Receivers receivers_;
    std::function<void(bool)> done_;
    std::vector<ConfigChange> batch_;
    bool fetching_ = false;
    bool fetchAgain_ = false;
    bool atLogEnd_ = false;
};

} // namespace poplarroad

#endif
