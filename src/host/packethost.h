#ifndef POPLARROAD_HOST_PACKETHOST_H
#define POPLARROAD_HOST_PACKETHOST_H

#include "directorytask.h"
#include "eventlog.h"
#include "packettask.h"
#include "peertask.h"
#include "settings.h"
#include "statustask.h"

#include <atomic>
#include <memory>

namespace poplarroad
{

/** The packet front end of one host: owns its tasks, starts and stops them. */
class PacketHost
{
public:
    PacketHost(const Settings &settings, std::unique_ptr<PacketCodec> codec,
               const DirectoryTask::SourceFactory &makeSource);
    ~PacketHost();
    PacketHost(const PacketHost &) = delete;
    PacketHost &operator=(const PacketHost &) = delete;

    /** Starts the tasks. @return whether all addresses could be bound; a failure is reported on standard error */
    bool start();
    /**
     * Shuts down gracefully: reports that it is not ready, so that the routers change to other balancers, and meanwhile
     * forwards packets for Settings::drainTime.
     */
    void leave();
    /** Applies the seeds of reloaded settings; all other settings stay as they were at startup. */
    void reload(const Settings &settings);

private:
    void stop();
    TaskSenders makeSenders();

    Settings settings_;
    StandardOutputSink output_;
    EventLog log_;
    CounterSet packetCounters_;
    CounterSet directoryCounters_;
    std::atomic<bool> ready_ = false;
    CounterSet peerCounters_;
    PacketMetrics packetMetrics_;
    DirectoryMetrics directoryMetrics_;
    TaskSenders senders_;
    PeerTask peers_;
    PacketTask packets_;
    DirectoryTask directory_;
    StatusTask status_;
    bool running_ = false;
};

} // namespace poplarroad

#endif
