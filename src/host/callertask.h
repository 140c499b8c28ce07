#ifndef POPLARROAD_HOST_CALLERTASK_H
#define POPLARROAD_HOST_CALLERTASK_H

#include "base/counters.h"
#include "link/datagramsocket.h"
#include "link/frameconnection.h"
#include "link/wire.h"
#include "mailbox.h"
#include "readiness.h"
#include "settings.h"
#include "taskmessages.h"
#include "taskthread.h"
#include "tracer.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace poplarroad
{

/** Owns the callers' sockets and the routing at this ingress. */
class CallerTask
{
public:
    /**
     * @param links posts to the other tasks; used after start() only
     * @param tracer records the ingress's spans
     */
    CallerTask(const Settings &settings, const TaskSenders &links, Tracer tracer, CounterSet &counters);

    /** @return whether both of the callers' sockets are bound */
    bool bound() const
    {
        return udp_.bound() && listener_.listening();
    }
    void start();
    /** Callable from any thread. */
    void post(CallerTaskMessage message);
    void join();

private:
    /** Callers on TCP that this ingress serves at the same time. */
    static constexpr std::size_t maxConnections = 50000;
    /** Set in the endpoints of TCP connections; without it an endpoint is the key of a UDP address. */
    static constexpr std::uint64_t connectionBit = std::uint64_t{ 1 } << 63U;

    /** Messages of other balancers that are kept until this one can route them. */
    static constexpr std::size_t maxEarly = 4096;

    void handle(CallerTaskMessage &&message);
    void onConfiguration(ConfigurationPtr configuration, TimePoint now);
    /** Starts what this task may do with the configuration and the view that it has. */
    void checkReadiness();
    void startReading();
    void onBytes(std::string_view bytes, std::uint64_t endpoint);
    void onAccept(evutil_socket_t socket);
    void onView(std::shared_ptr<const FleetView> view, TimePoint now);
    void onForwarded(ForwardedMessage &&forwarded);
    void onReply(ForwardedReply &&reply);
    /** Carries out what the router decided. */
    void carryOut(RouteActions &actions);
    void carryOut(RouteAction &&action);
    void reply(std::uint64_t endpoint, const CallerReply &reply);
    void stopReading();
    void notifyIfIdle();
    void stop();

    const TaskSenders &links_;
    CounterSet &counters_;
    Tracer tracer_;
    EventLoop loop_;
    WireCodec codec_;
    Router router_;
    DatagramSocket udp_;
    Listener listener_;
    LoopTimer timer_;
    LoopTimer startLimit_;
    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    bool routing_ = false; ///< there is a configuration, and the zone was joined
    bool reading_ = false;
    std::vector<ForwardedMessage> early_;
    std::uint64_t nextConnection_ = 1;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<FrameConnection>> connections_;
    Mailbox<CallerTaskMessage> mailbox_;
    std::function<void()> whenIdle_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
