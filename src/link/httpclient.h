#ifndef POPLARROAD_LINK_HTTPCLIENT_H
#define POPLARROAD_LINK_HTTPCLIENT_H

#include "base/eventloop.h"
#include "poplarroad/host.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct evhttp_request;

namespace poplarroad
{

/** Why an HTTP request got no response. */
enum class HttpFailure : std::uint8_t {
    Unreachable, ///< no connection, so nothing was sent
    AnswerLost, ///< the connection broke or the call timed out after the request was sent
};

/** Response to an HTTP request, or the reason why there is none. */
struct HttpResponse
{
    std::optional<HttpFailure> failure;
    int status = 0;
    std::string body;
    std::string etag; ///< ETag header; empty if the response has none
    std::optional<std::string> header{}; ///< value of HttpRequest::wantedHeader, if the response has it
};

/** One HTTP request. */
struct HttpRequest
{
    using Header = std::pair<const char *, std::string>;

    int method = 0; ///< an evhttp_cmd_type
    std::string path; ///< including the query
    std::optional<Header> conditionalHeader; ///< If-Match or If-None-Match
    std::string body; ///< JSON; empty for none
    Milliseconds timeout{ 1000 };
    /** The response is followed by the next request at once, on the same connection if that is still open. */
    bool continues = false;
    const char *wantedHeader = nullptr; ///< name of a header of the response that the caller reads; a literal
};

/**
 * Sends HTTP requests to one server.
 *
 * Each request has its own connection, so that a slow response delays no other request; only requests that continue each
 * other share one.
 */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResponse)>;

    HttpClient(EventLoop &loop, const HostAddress &server);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Returns immediately; the callback is called later, exactly once, in the thread of the event loop. */
    void send(const HttpRequest &call, Callback callback);

private:
    struct Exchange;

    /** Takes the connection over that an earlier request kept open, or creates one. */
    void prepareConnection(Exchange &exchange, const HttpRequest &call);
    static void onResponse(evhttp_request *request, void *exchange);
    static HttpResponse readResponse(evhttp_request *request, const char *wantedHeader);
    void finish(Exchange *exchange, HttpResponse response);

    EventLoop &loop_;
    HostAddress server_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
    std::vector<std::unique_ptr<Exchange>> ended_; ///< freed by `cleanup_`, since their callbacks may still run
    std::unique_ptr<Exchange> kept_; ///< ended, with an open connection for the request that continues it
    LoopTimer cleanup_;
};

} // namespace poplarroad

#endif
