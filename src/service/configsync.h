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

/** A newer configuration is in force. */
struct ConfigurationUpdated
{
    ConfigurationPtr configuration;
};

using ConfigSyncAction = std::variant<SendToPeer, ConfigurationUpdated>;
using ConfigSyncActions = std::vector<ConfigSyncAction>;

/** Timing of the requests to peers. */
struct ConfigSyncTiming
{
    Milliseconds requestTimeout{ 300 }; ///< six attempts fit into the 3 s within which a change is in force
    Milliseconds initialBackoff{ 50 }; ///< upper bound of the jitter before the second request; doubles
    Milliseconds maxBackoff{ 500 };
};

/**
 * Keeps the replica equal to those of the peers: pushes new changes, and asks a peer when a probe shows a newer
 * revision. It does no input or output. One task owns it.
 */
class ConfigSync
{
public:
    /** With 4 receivers for each push about 98% of a zone get a change by push; the probes repair the others. */
    static constexpr std::size_t PushFanout = 4;
    /** A longer batch is catching up, which the peers of the zone do not lack. */
    static constexpr std::size_t MaxPushedChanges = 16;

    /** @param seed for the choice of peers and the jitter, so that a run can be repeated */
    ConfigSync(ConfigReplica &replica, ConfigSyncTiming timing, std::uint64_t seed);

    void setView(std::shared_ptr<const FleetView> view);
    /** A probe shows that the peer has another revision. */
    void onRevisionSeen(HostAddress peer, Revision revision, TimePoint now, ConfigSyncActions &actions);
    void onMessage(HostAddress peer, const PeerConfigMessage &message, TimePoint now, ConfigSyncActions &actions);
    /** Applies changes that the store holds, and pushes them. */
    void onStoredChanges(const std::vector<ConfigChange> &changes, TimePoint now, ConfigSyncActions &actions);
    /** Takes a configuration from the store. */
    void onStoredSnapshot(ConfigurationPtr configuration, TimePoint now, ConfigSyncActions &actions);
    /** Asks another peer when an answer is overdue; to be called at nextTimer(). */
    void onTimer(TimePoint now, ConfigSyncActions &actions);
    /** @return when onTimer() has to be called next */
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
    std::optional<HostAddress> requestedPeer_; ///< the peer whose answer is awaited
    std::optional<HostAddress> lastRequestedPeer_; ///< avoided for the next request
    TimePoint timerAt_ = TimePoint::max(); ///< end of the wait for an answer, or time of the next request
    unsigned failures_ = 0;
};

} // namespace poplarroad

#endif
