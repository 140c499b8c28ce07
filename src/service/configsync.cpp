#include "configsync.h"

#include "poplarroad/visitor.h"

#include <algorithm>

namespace poplarroad
{

ConfigSync::ConfigSync(ConfigReplica &replica, ConfigSyncTiming timing, std::uint64_t seed)
    : replica_(replica)
    , timing_(timing)
    , random_(seed)
{
}

void ConfigSync::setView(std::shared_ptr<const FleetView> view)
{
    view_ = std::move(view);
}

bool ConfigSync::isBehind() const
{
    return !newerPeers_.empty();
}

TimePoint ConfigSync::nextTimer() const
{
    return timerAt_;
}

void ConfigSync::onRevisionSeen(HostAddress peer, Revision revision, TimePoint now, ConfigSyncActions &actions)
{
    if (revision <= replica_.revision()) {
        newerPeers_.erase(peer);
        return;
    }
    newerPeers_[peer] = revision;
    if (timerAt_ == TimePoint::max()) {
        requestChanges(now, actions);
    }
}

void ConfigSync::onMessage(HostAddress peer, const PeerConfigMessage &message, TimePoint now,
                           ConfigSyncActions &actions)
{
    std::visit(Visitor{
                   [&](const ConfigRequest &request) {
                       actions.emplace_back(SendToPeer{ peer, replica_.answer(request) });
                   },
                   [&](const ConfigChanges &changes) {
                       if (!changes.changes.empty()
                           && changes.changes.front().revision.value > replica_.revision().value + 1) {
                           // An earlier push was lost; the sender has the missing changes.
                           onRevisionSeen(peer, changes.changes.back().revision, now, actions);
                           return;
                       }
                       applyChanges(changes.changes, peer, actions);
                       finishRequest(peer, now, actions);
                   },
                   [&](const ConfigSnapshot &snapshot) {
                       if (replica_.replace(snapshot.configuration)) {
                           actions.emplace_back(ConfigurationUpdated{ replica_.configuration() });
                       }
                       finishRequest(peer, now, actions);
                   },
               },
               message);
}

void ConfigSync::onStoredChanges(const std::vector<ConfigChange> &changes, TimePoint now, ConfigSyncActions &actions)
{
    applyChanges(changes, std::nullopt, actions);
    pruneNewerPeers();
    if (!isBehind() && !requestedPeer_) {
        timerAt_ = TimePoint::max();
    }
    static_cast<void>(now);
}

void ConfigSync::onStoredSnapshot(ConfigurationPtr configuration, TimePoint now, ConfigSyncActions &actions)
{
    if (replica_.replace(std::move(configuration))) {
        actions.emplace_back(ConfigurationUpdated{ replica_.configuration() });
    }
    onStoredChanges({}, now, actions);
}

void ConfigSync::applyChanges(const std::vector<ConfigChange> &changes, std::optional<HostAddress> from,
                              ConfigSyncActions &actions)
{
    const std::vector<ConfigChange> applied = replica_.apply(changes);
    if (applied.empty()) {
        return;
    }
    actions.emplace_back(ConfigurationUpdated{ replica_.configuration() });
    if (applied.size() <= MaxPushedChanges) {
        push(applied, from, actions);
    }
}

void ConfigSync::push(const std::vector<ConfigChange> &changes, std::optional<HostAddress> from,
                      ConfigSyncActions &actions)
{
    std::vector<HostAddress> receivers = peersOfZone();
    std::erase_if(receivers, [&](const HostAddress &peer) { return peer == from; });
    std::shuffle(receivers.begin(), receivers.end(), random_);
    receivers.resize(std::min(receivers.size(), PushFanout));
    // Only a balancer that read the changes from the store sends them to other zones; receivers push in their own zone.
    if (view_ && !from) {
        for (const ZoneSummary &zone : view_->otherZones) {
            receivers.insert(receivers.end(), zone.gateways.begin(), zone.gateways.end());
        }
    }
    for (const HostAddress &receiver : receivers) {
        actions.emplace_back(SendToPeer{ receiver, ConfigChanges{ changes } });
    }
}

void ConfigSync::finishRequest(HostAddress peer, TimePoint now, ConfigSyncActions &actions)
{
    pruneNewerPeers();
    if (requestedPeer_ != peer) {
        return;
    }
    requestedPeer_.reset();
    timerAt_ = TimePoint::max();
    const auto newer = newerPeers_.find(peer);
    if (newer != newerPeers_.end() && replica_.lastError()) {
        // The answer could not be applied, and the same peer would send it again.
        newerPeers_.erase(newer);
    }
    failures_ = 0;
    if (isBehind()) {
        requestChanges(now, actions);
    }
}

void ConfigSync::pruneNewerPeers()
{
    absl::erase_if(newerPeers_, [&](const auto &entry) { return entry.second <= replica_.revision(); });
}

void ConfigSync::requestChanges(TimePoint now, ConfigSyncActions &actions)
{
    const std::optional<HostAddress> peer = choosePeer();
    if (!peer) {
        timerAt_ = TimePoint::max();
        return;
    }
    requestedPeer_ = peer;
    lastRequestedPeer_ = peer;
    timerAt_ = now + timing_.requestTimeout;
    actions.emplace_back(SendToPeer{ *peer, ConfigRequest{ replica_.revision() } });
}

void ConfigSync::onTimer(TimePoint now, ConfigSyncActions &actions)
{
    if (now < timerAt_) {
        return;
    }
    if (requestedPeer_) {
        requestedPeer_.reset();
        ++failures_;
        timerAt_ = now + jitter();
        return;
    }
    pruneNewerPeers();
    requestChanges(now, actions);
}

Milliseconds ConfigSync::jitter()
{
    constexpr unsigned maxShift = 6;
    const Milliseconds backoff = timing_.initialBackoff * (1U << std::min(failures_, maxShift));
    const Milliseconds bound = std::min(backoff, timing_.maxBackoff);
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, bound.count())(random_));
}

std::vector<HostAddress> ConfigSync::peersOfZone() const
{
    std::vector<HostAddress> peers;
    if (!view_) {
        return peers;
    }
    for (const HostRecord &host : view_->hosts) {
        if (host.address != view_->self && host.state != HostState::Dead) {
            peers.push_back(host.address);
        }
    }
    return peers;
}

std::optional<HostAddress> ConfigSync::choosePeer()
{
    std::vector<HostAddress> candidates;
    for (const auto &entry : newerPeers_) {
        candidates.push_back(entry.first);
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates.size() > 1) {
        std::erase_if(candidates, [&](const HostAddress &peer) { return peer == lastRequestedPeer_; });
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random_() % candidates.size()];
}

} // namespace poplarroad
