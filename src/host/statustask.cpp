#include "host/statustask.h"

#include "link/socketaddress.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

namespace poplarroad
{

void StatusTask::ServerDeleter::operator()(evhttp *server) const
{
    evhttp_free(server);
}

StatusTask::StatusTask(const HostAddress &address, const std::string &path, const std::atomic<bool> &ready,
                       std::function<void(MetricsWriter &)> writeMetrics)
    : ready_(ready)
    , writeMetrics_(std::move(writeMetrics))
    , server_(evhttp_new(loop_.base()))
    , mailbox_(loop_, [this](StopTask &&) { loop_.stop(); })
{
    // evhttp_bind_socket() would resolve the address as a host name.
    constexpr int backlog = 128;
    const sockaddr_in local = toSocketAddress(address);
    evconnlistener *const listener = evconnlistener_new_bind(
        loop_.base(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<const sockaddr *>(&local), sizeof(local));
    bound_ = listener && evhttp_bind_listener(server_.get(), listener);
    if (!path.empty()) {
        evhttp_set_cb(server_.get(), path.c_str(), &StatusTask::onReadiness, this);
    }
    evhttp_set_cb(server_.get(), "/metrics", &StatusTask::onMetrics, this);
}

void StatusTask::start()
{
    thread_.start(loop_, "status");
}

void StatusTask::stop()
{
    mailbox_.post({});
}

void StatusTask::join()
{
    thread_.join();
}

void StatusTask::onReadiness(evhttp_request *request, void *self)
{
    const bool ready = static_cast<StatusTask *>(self)->ready_.load();
    evhttp_send_reply(request, ready ? HTTP_OK : HTTP_SERVUNAVAIL, nullptr, nullptr);
}

void StatusTask::onMetrics(evhttp_request *request, void *self)
{
    MetricsWriter metrics;
    static_cast<StatusTask *>(self)->writeMetrics_(metrics);
    const std::string &text = metrics.text();
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "text/plain; version=0.0.4");
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
}

} // namespace poplarroad
