#ifndef POPLARROAD_HOST_DAEMON_H
#define POPLARROAD_HOST_DAEMON_H

#include "callertask.h"
#include "configtask.h"
#include "dispatchtask.h"
#include "metricstask.h"
#include "operatortask.h"
#include "peertask.h"
#include "settings.h"
#include "tracer.h"

#include <memory>

namespace poplarroad
{

/** The balancer process of one host: creates, starts and stops its tasks. */
class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** @return whether all addresses could be bound and all tasks run; failures are logged */
    bool start();
    /** Stops gracefully: accepts no new work and waits for requests in progress, at most for the leave timeout. */
    void leave();

private:
    Tracer makeTracer();
    void connectTasks();
    bool allBound() const;
    /** @return how long a leaving process keeps serving the callers with its tokens, by the current configuration */
    Milliseconds currentLeaveTime();
    /** @return whether the tasks had nothing in progress before `until` */
    bool waitUntilIdle(TimePoint until);
    void stop();

    Settings settings_;
    TaskSenders senders_;
    CounterSet callerCounters_;
    CounterSet dispatchCounters_;
    CounterSet peerCounters_;
    std::unique_ptr<TraceTask> traces_;
    CallerTask callers_;
    DispatchTask dispatch_;
    PeerTask peers_;
    MetricsTask metrics_;
    std::unique_ptr<ConfigTask> config_;
    std::unique_ptr<OperatorTask> operators_;
    bool running_ = false;
};

} // namespace poplarroad

#endif
