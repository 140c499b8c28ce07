#ifndef POPLARROAD_HOST_METRICSTASK_H
#define POPLARROAD_HOST_METRICSTASK_H

#include "counters.h"
#include "mailbox.h"
#include "poplarroad/host.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

struct evhtp;
struct evhtp_request;

namespace poplarroad
{

/** Where the fabric asks whether this balancer takes packets. */
struct ReadinessEndpoint
{
    std::string path; ///< empty: none
    const std::atomic<bool> *ready = nullptr; ///< set by the host while the balancer takes new work
};

/** Serves the counters by HTTP at /metrics in Prometheus' text format, and the readiness. */
class MetricsTask
{
public:
    /** @param sets counters of the other tasks, which outlive this one */
    MetricsTask(const HostAddress &address, std::vector<const CounterSet *> sets, ReadinessEndpoint readiness = {});
    ~MetricsTask();
    MetricsTask(const MetricsTask &) = delete;
    MetricsTask &operator=(const MetricsTask &) = delete;

    bool bound() const
    {
        return bound_;
    }
    void start();
    void stop();
    void join();

private:
    static void onRequest(evhtp_request *request, void *self);
    static void onReadiness(evhtp_request *request, void *self);

    std::vector<const CounterSet *> sets_;
    ReadinessEndpoint readiness_;
    EventLoop loop_;
    evhtp *server_;
    bool bound_;
    Mailbox<StopTask> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
