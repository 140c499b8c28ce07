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
 * The configuration in force at one daemon and the log of its last changes. It applies changes strictly in order and
 * never goes back. One task owns it; the snapshots that it hands out are immutable.
 */
class ConfigReplica
{
public:
    /** Changes kept for peers that are behind and for repeated calls of operators. */
    static constexpr std::size_t MaxLoggedChanges = 1000;
    /** Changes in one answer; a change has at most about 1 kB, and a frame at most 1 MB. */
    static constexpr std::size_t MaxChangesPerAnswer = 500;

    ConfigReplica();

    /** @return the configuration in force, never null */
    const ConfigurationPtr &configuration() const
    {
        return configuration_;
    }
    Revision revision() const
    {
        return configuration_->revision();
    }
    /**
     * Applies the changes that follow the revision in force, as one new snapshot; older ones are ignored.
     *
     * A change whose edit is invalid, written by a foreign program, takes its number and changes nothing. Every balancer
     * judges it on the same configuration, so all of them agree.
     *
     * @param changes consecutive changes, oldest first
     * @return the changes that were taken; fewer at a gap, see lastError()
     */
    std::vector<ConfigChange> apply(const std::vector<ConfigChange> &changes);
    /**
     * Takes a whole configuration when it is newer than the one in force.
     *
     * @return whether it is now in force
     */
    bool replace(ConfigurationPtr configuration);
    /** @return the answer to a peer that is behind: the changes, or a snapshot when the log does not reach back */
    PeerConfigMessage answer(const ConfigRequest &request) const;
    /** @return whether the log holds every change after the revision */
    bool hasChangesSince(Revision after) const;
    /** @return the logged change with the identifier, or nullptr; valid until the next change */
    const ConfigChange *findChange(std::string_view changeId) const;
    /** @return invalid changes that were taken without an effect */
    std::uint64_t skippedChanges() const
    {
        return skippedChanges_;
    }
    /** @return why the last call of apply() stopped early */
    std::optional<ConfigError> lastError() const
    {
        return lastError_;
    }

private:
    void appendToLog(const ConfigChange &change);

    ConfigurationPtr configuration_;
    std::deque<ConfigChange> log_; ///< consecutive, ends at the revision in force
    std::uint64_t skippedChanges_ = 0;
    std::optional<ConfigError> lastError_;
};

} // namespace poplarroad

#endif
