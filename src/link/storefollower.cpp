#include "storefollower.h"

#include <utility>

namespace poplarroad
{

StoreFollower::StoreFollower(ConfigStore &store, const ConfigReplica &replica, Receivers receivers)
    : store_(store)
    , replica_(replica)
    , receivers_(std::move(receivers))
{
}

void StoreFollower::follow(std::function<void(bool)> done)
{
    if (fetching_) {
        fetchAgain_ = true;
        return;
    }
    fetching_ = true;
    done_ = std::move(done);
    startFetch();
}

void StoreFollower::startFetch()
{
    fetchAgain_ = false;
    atLogEnd_ = false;
    batch_.clear();
    store_.readFloor([this](std::optional<Revision> floor) {
        if (!floor) {
            finish(false);
        } else if (*floor > replica_.revision()) {
            loadSnapshot();
        } else {
            readNextChange();
        }
    });
}

void StoreFollower::loadSnapshot()
{
    store_.loadSnapshot([this](ConfigurationPtr configuration) {
        if (!configuration) {
            finish(false);
            return;
        }
        receivers_.snapshot(std::move(configuration));
        readNextChange();
    });
}

void StoreFollower::readNextChange()
{
    const Revision last = batch_.empty() ? replica_.revision() : batch_.back().revision;
    store_.read(Revision{ last.value + 1 }, [this](ReadResult result, std::optional<ConfigChange> change) {
        if (result == ReadResult::Failed) {
            finish(false);
            return;
        }
        if (result == ReadResult::Found) {
            batch_.push_back(std::move(*change));
        }
        atLogEnd_ = result == ReadResult::Absent;
        if (atLogEnd_ || batch_.size() == MaxBatchChanges) {
            deliverBatch();
        } else {
            readNextChange();
        }
    });
}

void StoreFollower::deliverBatch()
{
    if (batch_.empty()) {
        finish(true);
        return;
    }
    // A writer that is far behind can create another change at a revision whose change was removed from the store. It
    // is not part of the log, so a batch that starts at or below the floor is not delivered.
    store_.readFloor([this](std::optional<Revision> floor) {
        if (!floor || *floor >= batch_.front().revision) {
            finish(false);
            return;
        }
        const Revision last = batch_.back().revision;
        receivers_.changes(std::exchange(batch_, {}));
        if (replica_.revision() < last) {
            finish(false);
        } else if (atLogEnd_) {
            finish(true);
        } else {
            readNextChange();
        }
    });
}

void StoreFollower::finish(bool complete)
{
    if (fetchAgain_ && complete) {
        startFetch();
        return;
    }
    fetching_ = false;
    const std::function<void(bool)> done = std::move(done_);
    if (done) {
        done(complete);
    }
}

} // namespace poplarroad
