#ifndef POPLARROAD_HOST_PACKETTASK_H
#define POPLARROAD_HOST_PACKETTASK_H

#include "base/counters.h"
#include "eventlog.h"
#include "link/datagramsocket.h"
#include "link/packetcodec.h"
#include "mailbox.h"
#include "packetmetrics.h"
#include "service/flowrouter.h"
#include "settings.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <memory>

namespace poplarroad
{

/** New routes are in force. */
struct ServicesInForce
{
    ServiceMapPtr services;
};

/** Messages to the task that owns the callers' packets. */
using PacketTaskMessage = std::variant<ServicesInForce, TargetUpdate, FleetViewChanged, FleetMessageReceived, StopTask>;

/** Owns the socket for the packets of callers, and the routing of flows. */
class PacketTask
{
public:
    /** @param toPeers called in the task's thread and only posts */
    PacketTask(const Settings &settings, std::unique_ptr<PacketCodec> codec,
               std::function<void(SendFleetMessage)> toPeers, CounterSet &counters, PacketMetrics &metrics,
               LogSink &logSink);

    bool bound() const
    {
        return socket_.bound();
    }
    void start();
    /** Callable from any thread. */
    void post(PacketTaskMessage message);
    void join();
    /** @return from a caller's request to the acknowledgement of its answer; readable from any thread */
    const LatencyHistogram &answerTimes() const
    {
        return router_.answerTimes();
    }

private:
    void handle(PacketTaskMessage &&message);
    void onDatagram(std::string_view datagram);
    void reset(const ResetFlow &reset);
    void onTimer();
    void armTimer();
    void measure();
    void sendReport();
    void logPlacement(const Packet &packet, const ForwardPacket &forward, TimePoint time);
    void logDrop(const Packet &packet, DropReason reason, TimePoint time);
    void logJudgements(TimePoint time);
    void logSummary(TimePoint time);

    std::uint16_t callerPort_; ///< callers take packets at the port that this balancer takes theirs
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
    TimePoint timerDue_;
    TimePoint nextSummary_;
    std::uint64_t summarized_ = 0; ///< packets forwarded up to the last summary
    DatagramSocket socket_;
    LoopTimer timer_;
    Mailbox<PacketTaskMessage> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
