#ifndef POPLARROAD_SERVICE_CONFIGREPLICA_H
#define POPLARROAD_SERVICE_CONFIGREPLICA_H

#include "poplarroad/configsync.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace poplarroad
{

/**
 * One daemon's copy of the configuration, with a log of the latest changes.
 *
 * Changes are applied strictly in revision order, so the revision never decreases. Owned by one task; the
 * configurations that it returns are immutable.
 */
class ConfigReplica
{
public:
    /** Changes kept for peers with an older revision and for detecting repeated operator calls. */
    static constexpr std::size_t MaxLoggedChanges = 1000;
    /** Changes per answer. A change takes at most about 1 kB, and a frame at most 1 MB. */
    static constexpr std::size_t MaxChangesPerAnswer = 500;

    ConfigReplica();

    /** @return the current configuration, never null */
    const ConfigurationPtr &configuration() const
    {
        return configuration_;
    }
    Revision revision() const
    {
        return configuration_->revision();
    }
    /**
     * Applies the changes that follow the current revision and publishes them as one new configuration. Changes up to
     * the current revision are ignored.
     *
     * A change with an invalid edit, which another program wrote to the store, advances the revision and has no other
     * effect. Every balancer checks it against the same configuration and so reaches the same result.
     *
     * @param changes consecutive changes, oldest first
     * @return the changes that were applied or skipped as invalid; the rest is missing after a gap, see lastError()
     */
    std::vector<ConfigChange> apply(const std::vector<ConfigChange> &changes);
    /**
     * Replaces the configuration if the given one is newer, and clears the log.
     *
     * @return whether it was replaced
     */
    bool replace(ConfigurationPtr configuration);
    /** @return the changes that the peer lacks, or a snapshot if the log does not reach back far enough */
    PeerConfigMessage answer(const ConfigRequest &request) const;
    /** @return whether the log contains every change after the given revision */
    bool hasChangesSince(Revision after) const;
    /** @return the logged change with this id, or nullptr; valid until the next call of apply() or replace() */
    const ConfigChange *findChange(std::string_view changeId) const;
    /** @return the number of invalid changes that only advanced the revision */
    std::uint64_t skippedChanges() const
    {
        return skippedChanges_;
    }
    /** @return why the last call of apply() stopped before the last change, if it did */
    std::optional<ConfigError> lastError() const
    {
        return lastError_;
    }

private:
    void appendToLog(const ConfigChange &change);

    ConfigurationPtr configuration_;
    std::deque<ConfigChange> log_; ///< consecutive; ends at the current revision
    std::uint64_t skippedChanges_ = 0;
    std::optional<ConfigError> lastError_;
};

} // namespace poplarroad

#endif
