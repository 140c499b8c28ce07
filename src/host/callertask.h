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

/** Task that owns the sockets of callers and routes their messages; this balancer is their ingress. */
class CallerTask
{
public:
    /**
     * @param senders post to the other tasks; used only after start()
     * @param tracer records the spans of the ingress
     */
    CallerTask(const Settings &settings, const TaskSenders &senders, Tracer tracer, CounterSet &counters);

    /** @return whether the UDP and the TCP socket for callers are bound */
    bool bound() const
    {
        return udp_.bound() && listener_.listening();
    }
    void start();
    /** Posts a message. Thread-safe. */
    void post(CallerTaskMessage message);
    void join();

private:
    /** Maximum number of concurrent TCP connections from callers; further ones are closed on accept. */
    static constexpr std::size_t MaxConnections = 50000;
    /** Marks an endpoint as a TCP connection; any other endpoint is the key of a UDP address. */
    static constexpr std::uint64_t ConnectionBit = std::uint64_t{ 1 } << 63U;

    /** Maximum number of forwarded messages that are held until routing starts; further ones are dropped. */
    static constexpr std::size_t MaxHeldMessages = 4096;

    void handle(CallerTaskMessage &&message);
    void onConfiguration(ConfigurationPtr configuration, TimePoint now);
    /** Starts routing and reading from callers as soon as the configuration and the view allow it. */
    void checkReadiness();
    void startReading();
    void onBytes(std::string_view bytes, std::uint64_t endpoint);
    void onAccept(evutil_socket_t socket);
    void onView(std::shared_ptr<const FleetView> view, TimePoint now);
    void onForwarded(ForwardedMessage &&forwarded);
    void onReply(ForwardedReply &&reply);
    /** Executes the actions of the router. */
    void execute(RouteActions &actions);
    void execute(RouteAction &&action);
    void reply(std::uint64_t endpoint, const CallerReply &reply);
    void stopReading();
    void notifyIfIdle();
    void stop();

    const TaskSenders &senders_;
    CounterSet &counters_;
    Tracer tracer_;
    EventLoop loop_;
    WireCodec codec_;
    Router router_;
    DatagramSocket udp_;
    Listener listener_;
    LoopTimer timer_;
    LoopTimer startTimer_;
    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    bool routing_ = false; ///< forwarded messages are routed
    bool reading_ = false; ///< reading from callers has started; stays true after stopReading()
    std::vector<ForwardedMessage> heldMessages_;
    std::uint64_t nextConnection_ = 1;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<FrameConnection>> connections_;
    Mailbox<CallerTaskMessage> mailbox_;
    std::function<void()> idleCallback_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
