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

/** The balancer of one machine: its tasks and how they start and end. */
class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** @return whether every address could be bound and every task runs; the log tells why not */
    bool start();
    /** Stops gracefully: no new work, then waits for what is in progress, at most for the leave timeout. */
    void leave();

private:
    Tracer makeTracer();
    void connectTasks();
    bool allBound() const;
    /** @return how long this process stays for the users of its tokens, by the configuration in force */
    Milliseconds currentLeaveTime();
    /** @return whether the tasks have nothing in progress by then */
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
