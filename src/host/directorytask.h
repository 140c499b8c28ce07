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
#include "poplarroad/storerevision.h"
#include "service/directorysync.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <functional>
#include <memory>

namespace poplarroad
{

/** Messages to the directory task. */
using DirectoryTaskMessage = std::variant<FleetViewChanged, FleetMessageReceived, BeginLeave, StopTask>;

/**
 * Owns the connection to the store and this balancer's copy of the directory, which lists the services and targets.
 *
 * Executes what DirectorySync decides.
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
    /** Executes the actions, and arms the timer for the next deadline. */
    void execute(DirectoryActions &&actions);
    void perform(CallStore &&call);
    void perform(PublishServices &&published);
    void perform(PublishTargets &&published);
    void perform(PublishEvacuations &&published);
    void perform(const FollowingChange &change);
    void perform(const ListDiffers &difference);
    void perform(const DirectoryReady &ready);
    void onAnswer(DirectoryPart part, std::uint64_t number, DirectoryResult answer);
    /** Counts errors, and logs when the store becomes unreachable or reachable. */
    void recordStoreResult(DirectoryPart part, const std::optional<StoreError> &error);
    /** Remembers the names of zones, which messages of other balancers do not contain. */
    void rememberZones(const std::vector<EvacuationChange> &changes);
    /** Counts what the store sent in place of an era, and logs it once in a while. */
    /** Reports a list whose pages are of different age. */
    void recordListAge(DirectoryPart part, const DirectoryResult &list);
    void recordRefusedEra(const std::optional<std::string> &value);
    /** Logs when the target list is of another era. */
    void recordEra();
    /** Counts the entries, and logs each one once in a while. */
    void recordRefusedEntries(DirectoryPart part, const std::vector<RefusedEntry> &entries);
    void onTimer();
    void onPaused();

    Callbacks callbacks_;
    CounterSet &counters_;
    DirectoryMetrics &metrics_;
    EventLog log_;
    EventLoop loop_;
    std::unique_ptr<DirectorySource> source_;
    DirectorySync sync_;
    PeriodicReports refusedEntryLog_;
    absl::flat_hash_map<ZoneId, std::string> zoneNames_;
    PeriodicReports refusedEraLog_;
    StoreEra era_ = 0; ///< of the target list
    std::array<bool, EnumNames<DirectoryPart>::table.size()> storeReachable_; ///< by part
    LoopTimer timer_;
    PauseDetector pauseDetector_;
    Mailbox<DirectoryTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
