#ifndef POPLARROAD_SERVICE_DIRECTORYSYNC_H
#define POPLARROAD_SERVICE_DIRECTORYSYNC_H

#include "poplarroad/fleetmessages.h"
#include "service/contentqueue.h"
#include "service/directoryelection.h"
#include "service/directorytiming.h"
#include "service/directorywatcher.h"
#include "service/listcomparison.h"
#include "service/targetreplica.h"
#include "zone/evacuationset.h"
#include "zone/seededrandom.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace poplarroad
{

/** What a balancer knows of itself and others before it hears anything. */
struct DirectoryIdentity
{
    HostAddress self;
    ZoneId zone;
    std::uint16_t rank = 0; ///< see HostRecord::rank
    std::vector<HostAddress> seeds;
    double contentBytesPerSecond = 0.0; ///< rate limit of changes, and separately of complete lists
    bool evacuations = false; ///< whether evacuations of zones are read, watched and sent
};

/** Make a call to the store; its answer goes to DirectorySync::onStoreAnswer(). */
struct CallStore
{
    DirectoryPart part = DirectoryPart::Services;
    DirectoryWatcher::DueCall due;
};

/** Services that replace the current ones. */
struct PublishServices
{
    ServiceMapPtr services;
};

/** Changes of the target list for its readers. */
struct PublishTargets
{
    TargetUpdate update;
};

/** Evacuations that replace the current ones. */
struct PublishEvacuations
{
    ZoneEvacuations evacuations;
    std::vector<ZoneChange> changes; ///< since the last publication
    EvacuationSource source = EvacuationSource::Store;
};

/** Balancers that the membership may not know yet. */
struct AddPeers
{
    std::vector<HostAddress> hosts;
};

/** This balancer starts or stops following the store. */
struct FollowingChange
{
    bool follows = false;
    std::size_t position = 0; ///< in the succession of its zone
    std::optional<Milliseconds> contactAge; ///< of this balancer's own contact to the store
};

/** This balancer's target list differs from the follower's at the same revision, and the follower's is requested. */
struct ListDiffers
{
    HostAddress follower;
    Revision own; ///< of the last change of this balancer's list
    Revision followers; ///< of the last change of the follower's list
};

/** The services and targets are known and confirmed; happens once. */
struct DirectoryReady
{
    bool confirmed = false; ///< false if neither the store nor a peer confirmed them in time
};

using DirectoryAction = std::variant<CallStore, SendFleetMessage, PublishServices, PublishTargets, PublishEvacuations,
                                     AddPeers, FollowingChange, ListDiffers, DirectoryReady>;
using DirectoryActions = std::vector<DirectoryAction>;

/**
 * Keeps this balancer's copy of the directory current: decides which calls to the store and which messages to other
 * balancers are needed.
 *
 * Elected balancers watch the store and send the changes to the others (see DirectoryElection). A balancer that starts
 * reads a list that may be some seconds old, which is cheap for the store, and asks other balancers for the changes
 * since; it is ready when a peer or the store has confirmed its list. Does no I/O; owned by one task.
 */
class DirectorySync
{
public:
    /** Time after which content that a peer has not sent is requested again. */
    static constexpr Milliseconds RequestTimeout{ 200 };
    /** Time for the store to answer a starting balancer, which then need not request complete lists from peers. */
    static constexpr Milliseconds FirstRequestDelay{ 150 };
    /** How long a balancer with a list waits for a peer to confirm it before it asks the store. */
    static constexpr Milliseconds PeerConfirmationTime{ 80 };
    /** How long a balancer with a list waits for its confirmation before it is ready without. */
    static constexpr Milliseconds ConfirmationTimeout{ 1000 };
    /** How long a starting balancer asks its peers for others of its zone. */
    static constexpr Milliseconds StartupQueryTime{ 2000 };
    /** How long a balancer may stay behind its peers before it asks the store; a random part spreads these calls. */
    static constexpr Milliseconds StoreFallbackDelay{ 700 };
    static constexpr Milliseconds StoreFallbackSpread{ 600 };
    /** Interval at which a balancer that is alone in its zone looks for others. */
    static constexpr Milliseconds PeerSearchPeriod{ 5000 };
    /** Number of balancers that get a message for which one receiver would be enough. */
    static constexpr std::size_t MessageFanout = 3;

    /** @param seed for random choices, so that a run can be reproduced */
    DirectorySync(DirectoryIdentity identity, std::uint64_t seed, TimePoint startedAt);

    void setView(std::shared_ptr<const FleetView> view);
    void onStoreAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer, TimePoint now,
                       DirectoryActions &actions);
    /** @param zone the sender's zone */
    void onMessage(const HostAddress &from, ZoneId zone, const FleetMessage &message, TimePoint now,
                   DirectoryActions &actions);
    /** Hands the store over to another balancer. */
    void beginLeave(TimePoint now, DirectoryActions &actions);
    /** Assumes that calls in progress will not be answered, after this balancer did not run for a while. */
    void onPaused(TimePoint now, DirectoryActions &actions);
    /** Does everything that is due; to be called at nextTimer(). */
    void onTimer(TimePoint now, DirectoryActions &actions);
    TimePoint nextTimer() const
    {
        return nextTimer_;
    }
    bool follows() const
    {
        return election_.follows();
    }
    /** @return see DirectoryElection::position() */
    std::size_t position() const
    {
        return election_.position();
    }
    bool ready() const
    {
        return ready_;
    }
    const ServiceMapPtr &services() const
    {
        return services_;
    }
    const TargetReplica &targets() const
    {
        return targets_;
    }
    const EvacuationSet &evacuations() const
    {
        return evacuations_;
    }

private:
    /** Since when beacons show newer content than this balancer has, for each part. */
    struct Lag
    {
        std::optional<TimePoint> since;
        TimePoint fallbackAt; ///< when the store is asked
    };

    // directorysync.cpp
    void runDueWork(TimePoint now, DirectoryActions &actions);
    void updateFollowing(TimePoint now, DirectoryActions &actions);
    /** Makes the due calls and moves nextTimer_ to the next ones. */
    void callStore(TimePoint now, DirectoryActions &actions);
    bool isHeldBack(DirectoryPart part) const;
    /** @return until when the store is known to have answered for all parts */
    std::optional<TimePoint> contact() const;
    /** @return when the store last confirmed the target list to this balancer itself */
    std::optional<TimePoint> targetsContact() const;
    /** @return until when the list of targets is known to be that of the store, by own contact or that of the follower */
    TimePoint targetsKnownUntil(TimePoint now) const;
    bool applyServices(const ServiceMapPtr &services, DirectoryActions &actions);
    bool applyTargets(const TargetUpdate &update, const ListReading &reading, TimePoint now, DirectoryActions &actions);
    static void publish(TargetUpdate update, DirectoryActions &actions);
    /** Asks the store for the changes after the list if no peer confirmed it in time. */
    void confirmByStore(TimePoint now);
    void checkReady(TimePoint now, DirectoryActions &actions);
    /** @return whether there is something to route with; a truncated list of targets is better than none */
    bool hasContent() const
    {
        return services_ && (hasCompleteTargets() || targets_.size() > 0);
    }
    bool hasCompleteTargets() const
    {
        return targets_.revision().value != 0;
    }
    DirectoryState state() const;
    /** @return whether a peer or the store has confirmed the target list, also after this balancer became ready */
    bool isListConfirmed() const
    {
        return confirmed_ || watcherOf(DirectoryPart::Targets).currentAt().has_value();
    }
    /** @return whether a revision is of the era of this balancer's list, so that the two can be compared */
    bool isOfOwnEra(Revision revision) const
    {
        return eraOf(revision) == eraOf(targets_.revision());
    }

    // directorysyncevacuations.cpp
    /** @return until when the evacuations are known to be those of the store, by own contact or that of the follower */
    TimePoint evacuationsKnownUntil(TimePoint now) const;
    void applyEvacuations(const DirectoryResult &answer, TimePoint now, DirectoryActions &actions);
    /**
     * @param confirms whether the set is recent enough for this balancer to become ready
     * @return whether the set in force changed
     */
    bool applyEvacuations(const ZoneEvacuations &received, bool confirms, TimePoint now, DirectoryActions &actions);
    void publishEvacuations(bool wasKnown, EvacuationSource source, DirectoryActions &actions);
    /** Sends the evacuations to a balancer that has lost the store, if its beacon shows an older set. */
    void replyToOutdated(const HostAddress &from, const DirectoryBeacon &beacon, DirectoryActions &actions);
    void sendEvacuations(std::vector<HostAddress> hosts, DirectoryActions &actions) const;
    /** @return whether this balancer may become ready as far as evacuations are concerned */
    bool knowsEvacuations() const
    {
        return !identity_.evacuations || evacuationsConfirmed_;
    }

    // directorysyncpeers.cpp
    void onRequest(const HostAddress &from, ZoneId zone, const DirectoryRequest &request, TimePoint now,
                   DirectoryActions &actions);
    /** Replies to a request from another zone with the gateways and the earlier requesters of that zone. */
    void sendIntroduction(const HostAddress &to, ZoneId zone, DirectoryActions &actions);
    void onBeacon(const HostAddress &from, ZoneId zone, const DirectoryBeacon &beacon, TimePoint now,
                  DirectoryActions &actions);
    /** Requests what a beacon shows to be newer from its sender. */
    void requestNewer(const HostAddress &from, const DirectoryBeacon &beacon, TimePoint now, DirectoryActions &actions);
    /** Compares the target list with that of a follower, and requests that one if the two differ for good. */
    void compareList(const DirectoryBeacon &beacon, TimePoint now, DirectoryActions &actions);
    /** Sends the list to a balancer whose list differs; reads it from the store first unless that was done lately. */
    void replyToDifference(const HostAddress &from, const DirectoryRequest &request, TimePoint now);
    void onContent(ZoneId zone, const DirectoryContent &content, TimePoint now, DirectoryActions &actions);
    void sendBeacon(TimePoint now, DirectoryActions &actions);
    /** Requests content, its confirmation, or an introduction to others of the zone, as far as this is still needed. */
    void requestFromPeers(TimePoint now, DirectoryActions &actions);
    /** Queues for each of the hosts the content that is newer than the given versions. */
    void queueContent(const std::vector<HostAddress> &hosts, const PendingContent &known);
    /** Sends content from the queue as far as its rate limit allows. */
    void sendQueued(ContentQueue &queue, TimePoint now, DirectoryActions &actions);
    DirectoryContent contentFor(const PendingContent &known) const;
    std::vector<HostAddress> zoneMembers() const;
    /** @return the other balancers of the zone, then the gateways of the other zones */
    std::vector<HostAddress> membersAndGateways() const;
    /** Adds a gateway of each other zone: the own zone may have been cut off from all of them. */
    void appendGateways(std::vector<HostAddress> &hosts);
    /** @return some balancers to ask: of the own zone if any is known, else gateways and seeds */
    std::vector<HostAddress> peersToAsk();

    DirectoryWatcher &watcherOf(DirectoryPart part)
    {
        return watchers_[static_cast<std::size_t>(part)];
    }
    const DirectoryWatcher &watcherOf(DirectoryPart part) const
    {
        return watchers_[static_cast<std::size_t>(part)];
    }

    DirectoryIdentity identity_;
    SeededRandom random_;
    TimePoint startedAt_;
    TimePoint nextRequestAt_;
    TimePoint nextTimer_;
    std::vector<DirectoryWatcher> watchers_; ///< of the parts that are used, in their order
    std::array<Lag, EnumNames<DirectoryPart>::table.size()> lags_;
    StoreEra requestedEra_ = 0; ///< era of the list for which content was last requested from peers
    TimePoint nextCatchUpRequest_; ///< no request for newer content to a peer before it
    ServiceMapPtr services_;
    TargetReplica targets_;
    EvacuationSet evacuations_;
    DirectoryElection election_;
    ListComparison comparison_; ///< with the list of the follower
    ListVerification verification_; ///< of the own list, while this balancer follows
    ContentQueue changeQueue_; ///< balancers that lack only recent changes
    ContentQueue completeListQueue_; ///< balancers that need the complete target list
    std::vector<std::pair<ZoneId, std::deque<HostAddress>>> requesters_; ///< by other zone, latest last
    std::shared_ptr<const FleetView> view_;
    std::optional<TimePoint> contentSince_; ///< since when services and targets are known
    bool targetsTruncated_ =
        false; ///< the store's last list was truncated: entries or changes of others may be missing
    bool askedStoreToConfirm_ = false;
    bool confirmed_ = false;
    bool evacuationsConfirmed_ = false; ///< by the store, a beacon with contact to it, or content of a peer
    bool leaving_ = false;
    bool ready_ = false;
};

} // namespace poplarroad

#endif
