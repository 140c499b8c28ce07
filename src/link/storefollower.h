#ifndef POPLARROAD_LINK_STOREFOLLOWER_H
#define POPLARROAD_LINK_STOREFOLLOWER_H

#include "configstore.h"

#include "service/configreplica.h"

#include <functional>
#include <vector>

namespace poplarroad
{

/** Fetches from the store what the replica lacks: the snapshot when the log no longer reaches back, then changes. */
class StoreFollower
{
public:
    /** Receivers of what was fetched; called in the thread of the owner. */
    struct Receivers
    {
        std::function<void(std::vector<ConfigChange>)> changes;
        std::function<void(ConfigurationPtr)> snapshot;
    };

    StoreFollower(ConfigStore &store, const ConfigReplica &replica, Receivers receivers);
    /**
     * Fetches until the store has no newer change. A call while it fetches makes it fetch once more.
     *
     * @param done called with whether the replica reached the end of the log; not called when a fetch is under way
     */
    void follow(std::function<void(bool)> done);

private:
    /** Changes handed over together; bounds the memory held while catching up. */
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
