#ifndef POPLARROAD_HOST_STATUSTASK_H
#define POPLARROAD_HOST_STATUSTASK_H

#include "base/metrics.h"
#include "mailbox.h"
#include "poplarroad/host.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;

namespace poplarroad
{

/**
 * Tells the fabric by HTTP whether this balancer takes packets, and serves the counters at /metrics.
 *
 * It uses the HTTP server of libevent, not libevhtp: loading that library and what it needs takes as long as the rest of
 * the start (docs/platform.md).
 */
class StatusTask
{
public:
    /**
     * @param path of the readiness; answered with 200 or 503
     * @param ready outlives this task
     * @param writeMetrics called in this task's thread; reads what the other tasks measure
     */
    StatusTask(const HostAddress &address, const std::string &path, const std::atomic<bool> &ready,
               std::function<void(MetricsWriter &)> writeMetrics);

    bool bound() const
    {
        return bound_;
    }
    void start();
    void stop();
    void join();

private:
    struct ServerDeleter
    {
        void operator()(evhttp *server) const;
    };

    static void onReadiness(evhttp_request *request, void *self);
    static void onMetrics(evhttp_request *request, void *self);

    const std::atomic<bool> &ready_;
    std::function<void(MetricsWriter &)> writeMetrics_;
    EventLoop loop_;
    std::unique_ptr<evhttp, ServerDeleter> server_;
    bool bound_;
    Mailbox<StopTask> mailbox_;
    TaskThread thread_;
};

} // namespace poplarroad

#endif
