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

/** How an HTTP call failed before there was an answer. */
enum class HttpFailure : std::uint8_t {
    Unreachable, ///< no connection, so nothing was sent
    AnswerLost, ///< the connection broke or the time ran out after the request was sent
};

/** Answer to one HTTP call. */
struct HttpResponse
{
    std::optional<HttpFailure> failure;
    int status = 0;
    std::string body;
    std::string etag; ///< of the answer's ETag header; empty without one
};

/** One HTTP call. */
struct HttpRequest
{
    using Header = std::pair<const char *, std::string>;

    int method = 0; ///< an evhttp_cmd_type
    std::string path; ///< with the query
    std::optional<Header> conditionalHeader;
    std::string body; ///< JSON; empty for none
    Milliseconds timeout{ 1000 };
};

/** Sends HTTP calls to one server, each on a connection of its own, so that a slow answer delays no other call. */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResponse)>;

    HttpClient(EventLoop &loop, const HostAddress &server);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Returns at once; the callback is called later in the loop's thread, exactly once. */
    void send(const HttpRequest &call, Callback callback);

private:
    struct Exchange;

    static void onResponse(evhttp_request *request, void *exchange);
    static HttpResponse readResponse(evhttp_request *request);
    void finish(Exchange *exchange, HttpResponse response);

    EventLoop &loop_;
    HostAddress server_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
    std::vector<std::unique_ptr<Exchange>> ended_; ///< freed outside of their callbacks
    LoopTimer cleanup_;
};

} // namespace poplarroad

#endif
