#ifndef POPLARROAD_HOST_DISPATCHTASK_H
#define POPLARROAD_HOST_DISPATCHTASK_H

#include "base/counters.h"
#include "link/targetconnections.h"
#include "link/wire.h"
#include "mailbox.h"
#include "pausedetector.h"
#include "settings.h"
#include "taskmessages.h"
#include "taskthread.h"
#include "tracer.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <random>

namespace poplarroad
{

/** Task that owns the pools that this process dispatches and the connections to their targets. */
class DispatchTask
{
public:
    /** @param senders post to the other tasks; used only after start() */
    DispatchTask(const Settings &settings, const TaskSenders &senders, Tracer tracer, CounterSet &counters);
    void start();
    /** Posts a message. Thread-safe. */
    void post(DispatchTaskMessage message);
    void join();

private:
    /** A dispatcher with its timer. */
    struct Pool
    {
        Dispatcher dispatcher;
        LoopTimer timer;
    };

    void handle(DispatchTaskMessage &&message);
    /** Drops the queues before events that arrived during the pause are handled, and rejoins the fleet. */
    void onPaused(Milliseconds length);
    void setConfiguration(ConfigurationPtr configuration);
    void setView(std::shared_ptr<const FleetView> view);
    void onDispatch(DispatchLocally &&dispatch);
    void onTargetEvent(const PoolId &pool, TargetEvent event);
    /** @return the pool, created on first use; nullptr for other zones and undeclared services */
    Pool *findOrCreatePool(const PoolId &id);
    /** Executes the actions of the dispatcher and arms its timer. */
    void execute(const PoolId &id, Pool &pool, DispatchActions &actions);
    void execute(const PoolId &id, Pool &pool, DispatchAction &&action);
    void run(const PoolId &id, RunAtTarget &&run);
    void reply(Pool &pool, ReplyToCaller &&reply);
    void forward(ForwardToDispatcher &&forward);
    void notifyIfIdle();
    DispatchStatus status() const;
    std::vector<std::string> explainTarget(TargetId target) const;
    FlowExplanation explainFlow(FlowId flow) const;

    const TaskSenders &senders_;
    CounterSet &counters_;
    Tracer tracer_;
    HostAddress self_;
    EventLoop loop_;
    WireCodec codec_;
    SocketTargetConnections targets_;
    std::mt19937_64 seedGenerator_;
    ConfigurationPtr configuration_;
    std::shared_ptr<const FleetView> view_;
    absl::flat_hash_map<PoolId, std::unique_ptr<Pool>> pools_;
    PauseDetector pauseDetector_;
    Mailbox<DispatchTaskMessage> mailbox_;
    std::function<void()> idleCallback_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
