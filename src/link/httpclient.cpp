#include "link/httpclient.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace poplarroad
{

namespace
{

struct ConnectionDeleter
{
    void operator()(evhttp_connection *connection) const
    {
        evhttp_connection_free(connection);
    }
};

} // namespace

struct HttpClient::Exchange
{
    Exchange(HttpClient &owner, Callback onResponse)
        : client(&owner)
        , callback(std::move(onResponse))
        , deadline(owner.loop_, [this] {
            // libevent restarts its timeout with each phase of an exchange; this timer limits the whole exchange.
            ended = true;
            client->finish(this, { HttpFailure::AnswerLost, 0, {}, {} });
        })
    {
    }

    HttpClient *client;
    Callback callback;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection;
    const char *wantedHeader = nullptr;
    bool continues = false;
    bool failedAfterConnect = false;
    bool ended = false;
    LoopTimer deadline;
};

HttpClient::HttpClient(EventLoop &loop, const HostAddress &server)
    : loop_(loop)
    , server_(server)
    , cleanup_(loop, [this] {
        ended_.clear();
        kept_.reset();
    })
{
}

HttpClient::~HttpClient()
{
    for (const auto &exchange : exchanges_) {
        exchange->ended = true;
    }
}

void HttpClient::send(const HttpRequest &call, Callback callback)
{
    auto exchange = std::make_unique<Exchange>(*this, std::move(callback));
    prepareConnection(*exchange, call);
    exchange->wantedHeader = call.wantedHeader;

    evhttp_request *request = evhttp_request_new(&HttpClient::onResponse, exchange.get());
    evhttp_request_set_error_cb(request, [](evhttp_request_error, void *argument) {
        static_cast<Exchange *>(argument)->failedAfterConnect = true;
    });
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", toString(server_).c_str());
    evhttp_add_header(headers, "Connection", call.continues ? "keep-alive" : "close");
    if (call.conditionalHeader) {
        evhttp_add_header(headers, call.conditionalHeader->first, call.conditionalHeader->second.c_str());
    }
    if (!call.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
    evhttp_connection *connection = exchange->connection.get();
    exchange->deadline.armAfter(call.timeout);
    exchanges_.push_back(std::move(exchange));
    evhttp_make_request(connection, request, static_cast<evhttp_cmd_type>(call.method), call.path.c_str());
}

void HttpClient::prepareConnection(Exchange &exchange, const HttpRequest &call)
{
    exchange.continues = call.continues;
    if (call.continues && kept_) {
        exchange.connection = std::move(kept_->connection);
        ended_.push_back(std::move(kept_));
    } else {
        const std::string endpoint = toString(server_);
        const std::string host = endpoint.substr(0, endpoint.find(':'));
        exchange.connection.reset(evhttp_connection_base_new(loop_.base(), nullptr, host.c_str(), server_.port));
    }
    const timeval limit{ call.timeout.count() / 1000, (call.timeout.count() % 1000) * 1000 };
    evhttp_connection_set_timeout_tv(exchange.connection.get(), &limit);
}

void HttpClient::onResponse(evhttp_request *request, void *exchange)
{
    auto *finished = static_cast<Exchange *>(exchange);
    if (finished->ended) {
        return;
    }
    finished->ended = true;
    // libevent passes a request with status 0 if connecting failed, and a null pointer if the connection broke.
    if (request && evhttp_request_get_response_code(request) != 0) {
        finished->client->finish(finished, readResponse(request, finished->wantedHeader));
        return;
    }
    const bool sent = !request || finished->failedAfterConnect;
    finished->client->finish(finished, { sent ? HttpFailure::AnswerLost : HttpFailure::Unreachable, 0, {}, {} });
}

HttpResponse HttpClient::readResponse(evhttp_request *request, const char *wantedHeader)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    evbuffer *buffer = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, response.body.data(), response.body.size());
    const char *tag = evhttp_find_header(evhttp_request_get_input_headers(request), "ETag");
    response.etag = tag ? tag : "";
    if (const char *const value =
            wantedHeader ? evhttp_find_header(evhttp_request_get_input_headers(request), wantedHeader) : nullptr) {
        response.header = value;
    }
    return response;
}

void HttpClient::finish(Exchange *exchange, HttpResponse response)
{
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(),
                                    [&](const auto &candidate) { return candidate.get() == exchange; });
    (*found)->deadline.armAt(TimePoint::max());
    if (exchange->continues && !response.failure) {
        kept_ = std::move(*found);
    } else {
        ended_.push_back(std::move(*found));
    }
    exchanges_.erase(found);
    cleanup_.armAfter(Microseconds(0));
    exchange->callback(std::move(response));
}

} // namespace poplarroad
