#ifndef POPLARROAD_TESTS_DIRECTORYFLEET_H
#define POPLARROAD_TESTS_DIRECTORYFLEET_H

#include "service/directorysync.h"

#include <functional>
#include <map>
#include <queue>
#include <set>

namespace poplarroad::test
{

/** Calls that a fleet made to the store. */
struct StoreCallCounts
{
    std::uint64_t current = 0; ///< answered from the store's current state; a long list is a call for each page
    std::uint64_t stale = 0; ///< reads that may be stale, by page
};

/** Size of a simulated fleet. */
struct FleetSize
{
    std::size_t zones = 5;
    std::size_t balancersPerZone = 12;
    std::size_t strongPerZone = 3; ///< balancers with a higher rank
    std::size_t targets = 600;
    bool evacuations = false; ///< see DirectoryIdentity::evacuations
};

/**
 * Balancers that keep their directory current over a simulated store and network, in virtual time.
 *
 * The real DirectorySync of each balancer runs; the membership is replaced by views that follow starts and deaths with a
 * fixed delay.
 */
class DirectoryFleet
{
public:
    static constexpr TimePoint Start{ std::chrono::seconds(1000) };

    explicit DirectoryFleet(FleetSize size, std::uint64_t seed = 1);

    void start(std::size_t balancer);
    void startAll();
    void kill(std::size_t balancer);
    void leave(std::size_t balancer);
    void run(Milliseconds time);

    // The store.
    void setStoreUp(bool up);
    /** Refuses the calls of some balancers. */
    void refuse(const std::set<std::size_t> &balancers)
    {
        refused_ = balancers;
    }
    /**
     * Loses the answer to the next watch of a part, as on a connection that fell silent; other calls are answered.
     *
     * @param onLost called when the watch arrives at the store
     */
    void loseNextWatch(std::size_t balancer, DirectoryPart part, std::function<void()> onLost)
    {
        lostWatch_ = { balancer, part, std::move(onLost) };
    }
    void setStaleness(Milliseconds staleness)
    {
        staleness_ = staleness;
    }
    /** Answers each page of a read that may be stale as of an age of its own, drawn from 0 to `longest`. */
    void setPageStaleness(Milliseconds longest)
    {
        pageStaleness_ = longest;
    }
    /** Leaves a target out of the next list that a balancer reads, which claims to be complete all the same. */
    void omitFromNextList(std::size_t balancer, std::uint64_t target)
    {
        omission_ = { balancer, TargetId{ target } };
    }
    void putTarget(std::uint64_t id, TargetState state = TargetState::Active);
    void removeTarget(std::uint64_t id);
    void putServices();
    /** Forgets the history, so that watches from earlier revisions fail. */
    void discardHistory();
    void evacuate(std::size_t zone);
    void endEvacuation(std::size_t zone);
    /** Returns the store from a copy without evacuations and without history, in the next era of revisions. */
    void restoreOlderCopy();
    /** Copies the contents of the store, for restoreCopy(). */
    void takeCopy()
    {
        copy_ = { targets_, history_, revision_, servicesRevision_, servicesVersion_ };
    }
    /** Returns the store to the copy: later changes are lost, their revisions are given again in the next era. */
    void restoreCopy();
    StoreCallCounts calls() const
    {
        return calls_;
    }

    /** Cuts a zone off from the other zones and the store. */
    void isolate(std::size_t zone)
    {
        isolated_ = zone;
    }
    void heal()
    {
        isolated_.reset();
    }

    std::size_t count() const
    {
        return balancers_.size();
    }
    bool isAlive(std::size_t balancer) const
    {
        return balancers_[balancer].sync != nullptr;
    }
    const DirectorySync &sync(std::size_t balancer) const
    {
        return *balancers_[balancer].sync;
    }
    /** @return how long the balancer took from its start until it was ready */
    std::optional<Milliseconds> readyAfter(std::size_t balancer) const;
    /** @return how often balancers removed a target that had expired */
    std::uint64_t removals() const
    {
        return removals_;
    }
    /** @return how often balancers asked the follower for its list since it differed from theirs */
    std::uint64_t differences() const
    {
        return differences_;
    }
    /** @return how the readers of a balancer's list see a target; Gone if they do not have it */
    ListingState listing(std::size_t balancer, std::uint64_t target) const;
    /** @return whether a balancer may open flows to a target */
    bool uses(std::size_t balancer, std::uint64_t target) const;
    std::vector<std::size_t> followers() const;
    /** @return balancers that started and are ready */
    bool isReady(std::size_t balancer) const
    {
        return isAlive(balancer) && balancers_[balancer].readyAt.has_value();
    }
    /** @return live balancers whose targets and services differ from those of the store */
    std::size_t outdated() const;
    bool isCurrent(std::size_t balancer) const;
    /** @return live balancers that published that the zone is evacuated, or that it is not */
    std::size_t countEvacuated(std::size_t zone, bool evacuated = true) const;
    /** @return how often a balancer returned a zone to service */
    std::uint64_t zonesReturned() const
    {
        return zonesReturned_;
    }
    TimePoint now() const
    {
        return now_;
    }

private:
    struct Balancer
    {
        HostRecord record;
        std::size_t zone = 0;
        std::unique_ptr<DirectorySync> sync;
        std::uint64_t process = 0; ///< counts starts, so that events of an earlier process are ignored
        TimePoint startedAt;
        std::optional<TimePoint> readyAt;
        TimePoint timer = TimePoint::max();
        std::vector<ZoneId> evacuated; ///< as last published
        std::map<TargetId, TargetChange> published; ///< the list as its readers have it
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Change
    {
        Revision revision;
        TargetChange target;
        TimePoint at;
    };
    struct ZoneEntryChange
    {
        Revision revision;
        EvacuationChange change;
    };
    /** Contents of the store at one time. */
    struct Copy
    {
        std::map<TargetId, TargetChange> targets;
        std::vector<Change> history;
        Revision revision;
        Revision servicesRevision;
        std::uint64_t servicesVersion = 0;
    };
    /** A watch whose answer is to be lost. */
    struct LostWatch
    {
        std::size_t balancer = 0;
        DirectoryPart part = DirectoryPart::Services;
        std::function<void()> onLost;
    };
    struct Watch
    {
        std::size_t balancer = 0;
        std::uint64_t process = 0;
        DirectoryPart part = DirectoryPart::Services;
        std::uint64_t number = 0;
        Revision after;
        TimePoint until;
    };

    void at(TimePoint time, std::function<void()> action);
    void execute(std::size_t balancer, DirectoryActions &&actions);
    void armTimer(std::size_t balancer);
    void send(std::size_t from, const SendFleetMessage &message);
    void callStore(std::size_t balancer, const CallStore &call);
    void answer(std::size_t balancer, std::uint64_t process, DirectoryPart part, std::uint64_t number,
                DirectoryResult result, Milliseconds delay);
    bool reachesStore(std::size_t balancer) const;
    DirectoryResult list(std::size_t balancer, DirectoryPart part, ReadFreshness freshness);
    /** The target list as it was some time ago. */
    struct PastList
    {
        Revision revision;
        std::map<TargetId, TargetChange> targets;
    };
    PastList listBefore(Milliseconds age) const;
    DirectoryResult listInPages(ReadFreshness freshness);
    DirectoryResult changes(DirectoryPart part, Revision after) const;
    bool hasChanges(DirectoryPart part, Revision after) const;
    // fakedirectoryevacuations.cpp
    DirectoryResult evacuationList() const;
    DirectoryResult evacuationChanges(Revision after) const;
    void setEvacuation(std::size_t zone, EvacuationEntry entry);
    void record(std::size_t balancer, const PublishEvacuations &published);
    void notifyWatches();
    /** Gives the balancers of a zone, and their neighbours in other zones, their new views after a delay. */
    void updateViews(Milliseconds delay);
    std::shared_ptr<const FleetView> viewOf(std::size_t balancer) const;
    std::size_t indexOf(const HostAddress &address) const;

    FleetSize size_;
    SeededRandom random_;
    TimePoint now_ = Start;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Balancer> balancers_;
    std::map<TargetId, TargetChange> targets_;
    std::vector<Change> history_;
    std::vector<ZoneId> evacuated_;
    std::vector<ZoneEntryChange> zoneHistory_;
    Revision revision_{ 100 };
    Revision discardedUpTo_;
    Revision servicesRevision_;
    std::uint64_t servicesVersion_ = 0;
    std::uint64_t lastServicesVersion_ = 0; ///< the operator's latest one, which the store may have lost
    Copy copy_;
    std::vector<Watch> watches_;
    bool storeUp_ = true;
    std::set<std::size_t> refused_;
    std::optional<LostWatch> lostWatch_;
    std::optional<std::pair<std::size_t, TargetId>> omission_; ///< see omitFromNextList()
    std::optional<std::size_t> isolated_;
    Milliseconds staleness_{ 0 };
    Milliseconds pageStaleness_{ 0 };
    StoreCallCounts calls_;
    std::uint64_t removals_ = 0;
    std::uint64_t differences_ = 0;
    std::uint64_t zonesReturned_ = 0;
};

} // namespace poplarroad::test

#endif
