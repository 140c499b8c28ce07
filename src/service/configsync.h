#ifndef POPLARROAD_SERVICE_CONFIGSYNC_H
#define POPLARROAD_SERVICE_CONFIGSYNC_H

#include "configreplica.h"

#include "poplarroad/clock.h"
#include "poplarroad/configsync.h"
#include "poplarroad/host.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace poplarroad
{

/** Send a configuration message to another balancer. */
struct SendToPeer
{
    HostAddress peer;
    PeerConfigMessage message;
};

/** The replica has a newer configuration. */
struct ConfigurationUpdated
{
    ConfigurationPtr configuration;
};

using ConfigSyncAction = std::variant<SendToPeer, ConfigurationUpdated>;
using ConfigSyncActions = std::vector<ConfigSyncAction>;

/** Timeouts and backoff of the requests to peers. */
struct ConfigSyncTiming
{
    Milliseconds requestTimeout{ 300 }; ///< allows six attempts within the 3 s in which a change has to take effect
    Milliseconds initialBackoff{ 50 }; ///< upper bound of the random delay after the first timeout; doubles
    Milliseconds maxBackoff{ 500 }; ///< largest upper bound of the random delay
};

/**
 * Keeps the replica in sync with those of other balancers: pushes new changes to peers, and requests changes from a
 * peer whose probe shows a newer revision.
 *
 * Performs no I/O: it appends the actions that the caller has to carry out. Owned by one task.
 */
class ConfigSync
{
public:
    /** Receivers of each push. 4 of them bring a change to about 98% of a zone; the others notice it by probes. */
    static constexpr std::size_t PushFanout = 4;
    /** Longer batches are not pushed: they occur when this balancer catches up on changes that its zone has already. */
    static constexpr std::size_t MaxPushedChanges = 16;

    /** @param seed of the random choice of peers and delays, for reproducible runs */
    ConfigSync(ConfigReplica &replica, ConfigSyncTiming timing, std::uint64_t seed);

    void setView(std::shared_ptr<const FleetView> view);
    /** Handles the revision of a peer that a probe reported. */
    void onRevisionSeen(HostAddress peer, Revision revision, TimePoint now, ConfigSyncActions &actions);
    void onMessage(HostAddress peer, const PeerConfigMessage &message, TimePoint now, ConfigSyncActions &actions);
    /** Applies changes that are in the store, and pushes them to peers. */
    void onStoredChanges(const std::vector<ConfigChange> &changes, TimePoint now, ConfigSyncActions &actions);
    /** Takes over a configuration that was read from the store. */
    void onStoredSnapshot(ConfigurationPtr configuration, TimePoint now, ConfigSyncActions &actions);
    /** Sends the request to another peer after a timeout. Has to be called at nextTimer(). */
    void onTimer(TimePoint now, ConfigSyncActions &actions);
    /** @return when onTimer() has to be called next; TimePoint::max() if no request is pending */
    TimePoint nextTimer() const;
    /** @return whether a peer is known to have a newer revision */
    bool isBehind() const;

private:
    void applyChanges(const std::vector<ConfigChange> &changes, std::optional<HostAddress> from,
                      ConfigSyncActions &actions);
    void push(const std::vector<ConfigChange> &changes, std::optional<HostAddress> from, ConfigSyncActions &actions);
    void requestChanges(TimePoint now, ConfigSyncActions &actions);
    void finishRequest(HostAddress peer, TimePoint now, ConfigSyncActions &actions);
    void pruneNewerPeers();
    std::vector<HostAddress> peersOfZone() const;
    std::optional<HostAddress> choosePeer();
    Milliseconds jitter();

    ConfigReplica &replica_;
    ConfigSyncTiming timing_;
    std::mt19937_64 random_;
    std::shared_ptr<const FleetView> view_;
    absl::flat_hash_map<HostAddress, Revision> newerPeers_;
    std::optional<HostAddress> requestedPeer_; ///< peer of the pending request
    std::optional<HostAddress> lastRequestedPeer_; ///< avoided for the next request if there is another peer
    TimePoint timerAt_ = TimePoint::max(); ///< timeout of the pending request, or time of the next one
    unsigned failures_ = 0;
};

} // namespace poplarroad

#endif
