#ifndef POPLARROAD_HOST_DIRECTORYTASK_H
#define POPLARROAD_HOST_DIRECTORYTASK_H

#include "base/counters.h"
#include "eventlog.h"
#include "link/directorysource.h"
#include "mailbox.h"
#include "packetmetrics.h"
#include "packettask.h"
#include "pausedetector.h"
#include "periodicreports.h"
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

/** Messages to the directory task. */
using DirectoryTaskMessage = std::variant<FleetViewChanged, FleetMessageReceived, BeginLeave, StopTask>;

/**
 * Owns the connection to the store and this balancer's copy of the directory, which lists the services and targets.
 *
 * Elected balancers watch the store for changes and send them to the others (see DirectoryElection).
 */
class DirectoryTask
{
public:
    using SourceFactory = std::function<std::unique_ptr<DirectorySource>(EventLoop &)>;

    /** Output of the task. Called in its thread, so they must only post. */
    struct Callbacks
    {
        std::function<void(PacketTaskMessage)> toPackets;
        std::function<void(SendFleetMessage)> toPeers;
        std::function<void(PlatformHosts)> addPeers; ///< balancers that the membership may not know yet
        std::function<void()> ready; ///< called once, when the services and targets are known
    };

    DirectoryTask(const Settings &settings, const SourceFactory &makeSource, Callbacks callbacks, CounterSet &counters,
                  DirectoryMetrics &metrics, LogSink &logSink);

    void start();
    /** Thread-safe. */
    void post(DirectoryTaskMessage message);
    void join();

private:
    void handle(DirectoryTaskMessage &&message);
    /** Does everything that is due, and arms the timer for the next deadline. */
    void runDueWork();
    /** Counts errors, and logs when the store becomes unreachable or reachable. */
    void recordStoreResult(DirectoryPart part, const std::optional<StoreError> &error);
    void startStoreCall(DirectoryPart part, const DirectoryWatcher::DueCall &due);
    void onAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer);
    /** Applies services that are newer than the current ones. @return whether they were newer */
    bool applyServices(const ServiceMapPtr &services);
    /**
     * Applies an update of the target list.
     *
     * @param unreadable see TargetReplica::apply()
     * @return whether the list changed
     */
    bool applyTargets(const TargetUpdate &update, const std::vector<TargetId> &unreadable = {});
    /** Counts the entries, and logs each one once in a while. */
    void recordRefusedEntries(DirectoryPart part, const std::vector<RefusedEntry> &entries);
    void onFleetMessage(const FleetMessageReceived &received);
    void onBeacon(const FleetMessageReceived &received, const DirectoryBeacon &beacon);
    void onContent(const FleetMessageReceived &received, const DirectoryContent &content);
    void sendBeacon(TimePoint time);
    /** Queues for each of the hosts the content that is newer than the given versions. */
    void queueContent(const std::vector<HostAddress> &hosts, std::uint64_t serviceVersion, Revision targets);
    /** Sends content from the queue as far as its rate limit allows. */
    void sendQueued(ContentQueue &queue, TimePoint time);
    DirectoryState state() const;
    /** Requests content from peers during startup, and later while no other balancer of the zone is known. */
    void requestFromPeers(TimePoint time);
    void onRequest(const FleetMessageReceived &received, const DirectoryRequest &request);
    /** Replies to a request from another zone with the gateways and the earlier requesters of that zone. */
    void sendIntroduction(const FleetMessageReceived &received);
    std::vector<HostAddress> zoneMembers() const;
    std::vector<HostAddress> gateways() const;
    /** @return the other balancers of the zone, then the gateways of the other zones */
    std::vector<HostAddress> membersAndGateways() const;
    /** Logs the changes and sends them to the packet task. */
    void publish(const TargetUpdate &update);
    /** Reports that the balancer is ready once services and targets are known. */
    void checkReady();
    /** Reads services and targets again completely, since they may have changed during the pause. */
    void onPaused();
    DirectoryWatcher &watcherOf(DirectoryPart part)
    {
        return watchers_[static_cast<std::size_t>(part)];
    }

    Callbacks callbacks_;
    CounterSet &counters_;
    DirectoryMetrics &metrics_;
    EventLog log_;
    EventLoop loop_;
    std::unique_ptr<DirectorySource> source_;
    std::array<DirectoryWatcher, EnumNames<DirectoryPart>::table.size()> watchers_;
    ServiceMapPtr services_;
    TargetReplica targets_;
    PeriodicReports refusedEntryLog_;
    HostAddress self_;
    std::vector<HostAddress> seeds_;
    SeededRandom random_;
    TimePoint startedAt_;
    TimePoint nextRequestAt_;
    ContentQueue changeQueue_; ///< balancers that lack only recent changes
    ContentQueue completeListQueue_; ///< balancers that need the complete target list
    absl::flat_hash_map<ZoneId, std::deque<HostAddress>> requesters_; ///< by other zone, latest last
    bool peerAnswered_ = false;
    ZoneId zone_;
    DirectoryElection election_;
    std::shared_ptr<const FleetView> view_;
    bool following_ = true; ///< whether this balancer follows the store
    bool storeReachable_ = true;
    bool leaving_ = false;
    bool ready_ = false;
    LoopTimer timer_;
    PauseDetector pauseDetector_;
    Mailbox<DirectoryTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
