#include "host/metricstask.h"

#include <evhtp/evhtp.h>

namespace poplarroad
{

namespace
{

std::string ipOf(const HostAddress &address)
{
    const std::string text = toString(address);
    return text.substr(0, text.find(':'));
}

} // namespace

MetricsTask::MetricsTask(const HostAddress &address, std::vector<const CounterSet *> sets)
    : counterSets_(std::move(sets))
    , server_(evhtp_new(loop_.base(), nullptr))
    , bound_(evhtp_bind_socket(server_, ipOf(address).c_str(), address.port, 16) == 0)
    , mailbox_(loop_, [this](StopTask &&) { loop_.stop(); })
{
    evhtp_set_cb(server_, "/metrics", &MetricsTask::onRequest, this);
}

MetricsTask::~MetricsTask()
{
    thread_.join();
    evhtp_unbind_socket(server_);
    evhtp_free(server_);
}

void MetricsTask::start()
{
    thread_.start(loop_, "metrics");
}

void MetricsTask::stop()
{
    mailbox_.post({});
}

void MetricsTask::join()
{
    thread_.join();
}

void MetricsTask::onRequest(evhtp_request *request, void *self)
{
    MetricsWriter metrics;
    writeCounters(metrics, static_cast<MetricsTask *>(self)->counterSets_);
    const std::string &text = metrics.text();
    evbuffer_add(request->buffer_out, text.data(), text.size());
    evhtp_headers_add_header(request->headers_out, evhtp_header_new("Content-Type", "text/plain; version=0.0.4", 0, 0));
    evhtp_send_reply(request, EVHTP_RES_OK);
}

} // namespace poplarroad
