#ifndef POPLARROAD_HOST_PACKETTASK_H
#define POPLARROAD_HOST_PACKETTASK_H

#include "base/counters.h"
#include "eventlog.h"
#include "link/datagramsocket.h"
#include "link/packetcodec.h"
#include "mailbox.h"
#include "packetmetrics.h"
#include "pausedetector.h"
#include "service/flowrouter.h"
#include "settings.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <memory>

namespace poplarroad
{

/** The services and their routes changed. */
struct ServicesChanged
{
    ServiceMapPtr services;
};

/** Messages to the packet task. */
using PacketTaskMessage =
    std::variant<ServicesChanged, TargetUpdate, ZoneEvacuations, FleetViewChanged, FleetMessageReceived, StopTask>;

/** Owns the socket for callers' packets and the router of their flows. */
class PacketTask
{
public:
    /** @param toPeers called in the task's thread; must only post */
    PacketTask(const Settings &settings, std::unique_ptr<PacketCodec> codec,
               std::function<void(SendFleetMessage)> toPeers, CounterSet &counters, PacketMetrics &metrics,
               LogSink &logSink);

    bool bound() const
    {
        return socket_.bound();
    }
    void start();
    /** Thread-safe. */
    void post(PacketTaskMessage message);
    void join();
    /** @return times from a caller's request to the acknowledgement of its answer; any thread may read them */
    const LatencyHistogram &answerTimes() const
    {
        return router_.answerTimes();
    }

private:
    void handle(PacketTaskMessage &&message);
    void onDatagram(std::string_view datagram);
    /** Begins to read callers' packets, once the directory is known or has been awaited for long enough. */
    void startReading();
    void sendReset(const ResetFlow &reset);
    void onTimer();
    void armTimer();
    void updateGauges();
    /** Counts the flows to cold targets, and logs a change of the number of them that this balancer owns. */
    void reportWarmups(TimePoint time);
    /** Sends the loads and states of targets that this balancer observes to some balancers of the zone. */
    void sendReport();
    void logPlacement(const Packet &packet, const ForwardPacket &forward, TimePoint time);
    void logDrop(const Packet &packet, DropReason reason, TimePoint time);
    void logTargetChanges(TimePoint time);
    void logLivenessChanges(TimePoint time);
    void logComparisonChanges(TimePoint time);
    void logReachabilityChanges(TimePoint time);
    std::int64_t numberOf(TargetId target) const;
    void logPressureChanges(TimePoint time);
    void logSummary(TimePoint time);

    std::uint16_t callerPort_; ///< callers receive packets on the same port number as this balancer
    std::unique_ptr<PacketCodec> codec_;
    std::function<void(SendFleetMessage)> toPeers_;
    CounterSet &counters_;
    PacketMetrics &metrics_;
    EventLog log_;
    EventLoop loop_;
    FlowRouter router_;
    HostAddress self_;
    SeededRandom random_;
    std::shared_ptr<const FleetView> view_;
    LoopTimer reportTimer_;
    TimePoint timerDue_; ///< deadline of timer_
    TimePoint nextSummary_;
    std::size_t ownedColdTargets_ = 0; ///< as of the last log line
    std::uint64_t summarizedPackets_ = 0; ///< packets forwarded before the last summary
    DatagramSocket socket_;
    LoopTimer timer_;
    LoopTimer startHold_;
    bool reading_ = false;
    bool awaitsEvacuations_; ///< the settings enable evacuations, and none were received yet
    PauseDetector pauseDetector_;
    Mailbox<PacketTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
