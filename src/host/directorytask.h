#ifndef POPLARROAD_HOST_DIRECTORYTASK_H
#define POPLARROAD_HOST_DIRECTORYTASK_H

#include "base/counters.h"
#include "eventlog.h"
#include "link/directorysource.h"
#include "mailbox.h"
#include "packetmetrics.h"
#include "packettask.h"
#include "pausedetector.h"
#include "service/contentqueue.h"
#include "service/directoryelection.h"
#include "service/directorywatcher.h"
#include "service/targetreplica.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace poplarroad
{

/** Messages to the task that owns the directory and the connection to the store. */
using DirectoryTaskMessage = std::variant<FleetViewChanged, FleetMessageReceived, BeginLeave, StopTask>;

/** Owns the connection to the store and what this balancer knows of services and targets. */
class DirectoryTask
{
public:
    using SourceFactory = std::function<std::unique_ptr<DirectorySource>(EventLoop &)>;

    /** What the task tells; called in its thread and only posts. */
    struct Receivers
    {
        std::function<void(PacketTaskMessage)> toPackets;
        std::function<void(SendFleetMessage)> toPeers;
        std::function<void(PlatformHosts)> introduce; ///< balancers that the membership may not know
        std::function<void()> ready; ///< services and targets are known; called once
    };

    DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Receivers receivers, CounterSet &counters,
                  DirectoryMetrics &metrics, LogSink &logSink);

    void start();
    /** Callable from any thread. */
    void post(DirectoryTaskMessage message);
    void join();

private:
    void handle(DirectoryTaskMessage &&message);
    void advance();
    void noteStore(DirectoryPart part, const std::optional<StoreError> &error);
    void call(DirectoryPart part, const DirectoryWatcher::DueCall &due);
    void onAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer);
    /** @return whether the services are newer than those in force */
    bool takeServices(const ServiceMapPtr &services);
    /** @return whether the list changed */
    bool takeTargets(const TargetUpdate &update);
    void onFleetMessage(const FleetMessageReceived &received);
    void onBeacon(const FleetMessageReceived &received, const DirectoryBeacon &beacon);
    void onContent(const FleetMessageReceived &received, const DirectoryContent &content);
    void sendBeacon(TimePoint time);
    /** Queues what is newer than the given state for each of the hosts. */
    void sendContent(const std::vector<HostAddress> &hosts, std::uint64_t serviceVersion, Revision targets);
    /** Sends what waits in the queue, as far as the link may take it. */
    void sendFrom(ContentQueue &queue, TimePoint time);
    DirectoryState state() const;
    /** Asks others for all that they know, while this balancer is new. */
    void askPeers(TimePoint time);
    void onRequest(const FleetMessageReceived &received, const DirectoryRequest &request);
    /** Tells a balancer of another zone which others of that zone asked here or are its gateways. */
    void introduce(const FleetMessageReceived &received);
    std::vector<HostAddress> zoneMembers() const;
    std::vector<HostAddress> gateways() const;
    /** @return the other balancers of the zone, then the gateways of the other zones */
    std::vector<HostAddress> membersAndGateways() const;
    void publish(const TargetUpdate &news);
    void checkReady();
    void onPaused();
    DirectoryWatcher &feed(DirectoryPart part)
    {
        return feeds_[static_cast<std::size_t>(part)];
    }

    Receivers receivers_;
    CounterSet &counters_;
    DirectoryMetrics &metrics_;
    EventLog log_;
    EventLoop loop_;
    std::unique_ptr<DirectorySource> source_;
    std::array<DirectoryWatcher, EnumNames<DirectoryPart>::table.size()> feeds_;
    ServiceMapPtr services_;
    TargetReplica targets_;
    HostAddress self_;
    std::vector<HostAddress> seeds_;
    SeededRandom random_;
    TimePoint startedAt_;
    TimePoint nextAsk_;
    ContentQueue changes_; ///< for balancers that lack changes only
    ContentQueue wholeLists_;
    absl::flat_hash_map<ZoneId, std::deque<HostAddress>> askers_; ///< of other zones, latest last
    bool peerAnswered_ = false;
    ZoneId zone_;
    DirectoryElection share_;
    std::shared_ptr<const FleetView> view_;
    bool following_ = true;
    bool storeReachable_ = true;
    bool leaving_ = false;
    bool ready_ = false;
    LoopTimer timer_;
    PauseDetector pauses_;
    Mailbox<DirectoryTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
