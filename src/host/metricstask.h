#ifndef POPLARROAD_HOST_METRICSTASK_H
#define POPLARROAD_HOST_METRICSTASK_H

#include "base/counters.h"
#include "mailbox.h"
#include "poplarroad/host.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <memory>
#include <vector>

struct evhtp;
struct evhtp_request;

namespace poplarroad
{

/** Task that serves the counters over HTTP at /metrics in the Prometheus text format. */
class MetricsTask
{
public:
    /** @param sets counters of the other tasks; must outlive this task */
    MetricsTask(const HostAddress &address, std::vector<const CounterSet *> sets);
    ~MetricsTask();
    MetricsTask(const MetricsTask &) = delete;
    MetricsTask &operator=(const MetricsTask &) = delete;

    /** @return whether the address could be bound */
    bool bound() const
    {
        return bound_;
    }
    void start();
    void stop();
    void join();

private:
    static void onRequest(evhtp_request *request, void *self);

    std::vector<const CounterSet *> counterSets_;
    EventLoop loop_;
    evhtp *server_;
    bool bound_;
    Mailbox<StopTask> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
