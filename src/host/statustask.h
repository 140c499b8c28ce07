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
 * Task that answers the readiness checks of the routers and serves the counters at /metrics, both over HTTP.
 *
 * It uses the HTTP server of libevent instead of libevhtp, since loading libevhtp and its dependencies takes as long as
 * the rest of the start (docs/platform.md).
 */
class StatusTask
{
public:
    /**
     * @param path of the readiness check, answered with 200 or 503; empty: none
     * @param ready whether this balancer takes packets; must outlive this task
     * @param writeMetrics writes the metrics of the other tasks; called in this task's thread
     */
    StatusTask(const HostAddress &address, const std::string &path, const std::atomic<bool> &ready,
               std::function<void(MetricsWriter &)> writeMetrics);

    /** @return whether the address could be bound */
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
