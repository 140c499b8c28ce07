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

/** The balancer of one machine for flows of packets: its tasks and how they start and end. */
class PacketHost
{
public:
    PacketHost(const Settings &settings, std::unique_ptr<PacketCodec> codec,
               const DirectoryTask::SourceFactory &makeSource);
    ~PacketHost();
    PacketHost(const PacketHost &) = delete;
    PacketHost &operator=(const PacketHost &) = delete;

    /** @return whether every address could be bound and every task runs; the log tells why not */
    bool start();
    /** Stops gracefully: out of rotation, then packets go on until the routers use other balancers. */
    void leave();
    /** Takes the seeds of settings that were read again; addresses are fixed for the life of the process. */
    void reload(const Settings &settings);

private:
    void stop();
    TaskSenders makeLinks();

    Settings settings_;
    StandardOutput output_;
    EventLog log_;
    CounterSet packetCounters_;
    CounterSet directoryCounters_;
    std::atomic<bool> ready_ = false;
    CounterSet peerCounters_;
    PacketMetrics packetMetrics_;
    DirectoryMetrics directoryMetrics_;
    TaskSenders links_;
    PeerTask peers_;
    PacketTask packets_;
    DirectoryTask directory_;
    StatusTask status_;
    bool running_ = false;
};

} // namespace poplarroad

#endif
