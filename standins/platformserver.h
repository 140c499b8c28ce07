#ifndef POPLARROAD_STANDINS_PLATFORMSERVER_H
#define POPLARROAD_STANDINS_PLATFORMSERVER_H

#include "base/eventloop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace poplarroad
{

/** Simulated platform: implements the API of docs/platform-api.md in memory, with injectable faults. */
class PlatformServer
{
public:
    /** @param port port on the loopback interface, 0 for any free one */
    PlatformServer(EventLoop &loop, std::uint16_t port)
        : loop_(loop)
        , http_(evhtp_new(loop.base(), nullptr), &evhtp_free)
    {
        evhtp_set_gencb(http_.get(), &PlatformServer::onRequest, this);
        evhtp_bind_socket(http_.get(), "127.0.0.1", port, 128);
    }
    ~PlatformServer()
    {
        pendingRequests_.clear();
    }
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** @return the listening port, 0 if it could not be bound */
    std::uint16_t port() const
    {
        if (!http_->server) {
            return 0;
        }
        sockaddr_in address{};
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(http_->server), reinterpret_cast<sockaddr *>(&address), &length);
        return ntohs(address.sin_port);
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> objects; ///< value and version by key
    nlohmann::json hosts = { { "live", nlohmann::json::array() }, { "leaving", nlohmann::json::array() } };
    int delayMs = 0; ///< delay of each response
    bool down = false; ///< connections are closed before the request takes effect
    bool busy = false; ///< requests are answered with 503
    int loseAnswers = 0; ///< number of next writes that take effect without a response
    bool staleHosts = false; ///< the host list is served as it was when this was set

private:
    static constexpr std::size_t MaxValueBytes = 1 << 20;

    struct Response
    {
        evhtp_res status = EVHTP_RES_OK;
        std::string body;
        std::uint64_t version = 0; ///< version of the object, 0 for none
        bool dropped = false; ///< closes the connection without a response
    };
    /** A paused request whose response is sent later. */
    struct PendingRequest
    {
        evhtp_request_t *request = nullptr;
        std::function<Response()> makeResponse;
        std::string watchedPrefix; ///< set for a watch request
        std::unique_ptr<LoopTimer> timer;
        PlatformServer *server = nullptr;
    };

    static void onRequest(evhtp_request_t *request, void *server)
    {
        static_cast<PlatformServer *>(server)->handle(request);
    }
    static evhtp_res onRequestEnd(evhtp_request_t *request, void *server)
    {
        auto &pendingRequests = static_cast<PlatformServer *>(server)->pendingRequests_;
        pendingRequests.remove_if([&](const PendingRequest &entry) { return entry.request == request; });
        return EVHTP_RES_OK;
    }

    static std::string bodyOf(evhtp_request_t *request)
    {
        std::string body(evbuffer_get_length(request->buffer_in), '\0');
        evbuffer_remove(request->buffer_in, body.data(), body.size());
        return body;
    }
    static std::string parameter(evhtp_request_t *request, const char *name)
    {
        const char *value = request->uri->query ? evhtp_kv_find(request->uri->query, name) : nullptr;
        if (!value) {
            return {};
        }
        const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(value, 0, nullptr), &std::free);
        return decoded ? decoded.get() : "";
    }
    static std::string header(evhtp_request_t *request, const char *name)
    {
        const char *value = evhtp_header_find(request->headers_in, name);
        return value ? value : "";
    }

    void handle(evhtp_request_t *request)
    {
        const std::string path = request->uri->path->full;
        if (path == "/faults") {
            respondAfter(request, setFaults(bodyOf(request)), 0);
        } else if (down) {
            respondAfter(request, Response{ EVHTP_RES_OK, {}, 0, true }, delayMs);
        } else if (busy) {
            respondAfter(request, Response{ EVHTP_RES_SERVUNAVAIL, {}, 0, false }, delayMs);
        } else if (path == "/hosts") {
            respondAfter(request, handleHosts(request), delayMs);
        } else if (path.starts_with("/v1/objects/")) {
            respondAfter(request, handleObject(request, path.substr(std::string("/v1/objects/").size())), delayMs);
        } else if (path == "/v1/list") {
            respondAfter(request, keysAfter(parameter(request, "prefix"), 0), delayMs);
        } else if (path == "/v1/watch") {
            handleWatch(request);
        } else {
            respondAfter(request, Response{ EVHTP_RES_NOTFOUND, {}, 0, false }, 0);
        }
    }

    Response setFaults(const std::string &body)
    {
        const auto faults = nlohmann::json::parse(body, nullptr, false);
        if (!faults.is_object()) {
            return { EVHTP_RES_BADREQ, {}, 0, false };
        }
        delayMs = faults.value("delayMs", delayMs);
        down = faults.value("down", down);
        busy = faults.value("busy", busy);
        loseAnswers = faults.value("loseAnswers", loseAnswers);
        const bool stale = faults.value("staleHosts", staleHosts);
        if (stale && !staleHosts) {
            staleHostList_ = hosts;
        }
        staleHosts = stale;
        return { EVHTP_RES_OK, "{}", 0, false };
    }

    Response handleHosts(evhtp_request_t *request)
    {
        if (request->method == htp_method_PUT) {
            const auto list = nlohmann::json::parse(bodyOf(request), nullptr, false);
            if (!list.is_object()) {
                return { EVHTP_RES_BADREQ, {}, 0, false };
            }
            hosts = list;
        }
        return { EVHTP_RES_OK, (staleHosts ? staleHostList_ : hosts).dump(), 0, false };
    }

    Response handleObject(evhtp_request_t *request, const std::string &key)
    {
        if (request->method == htp_method_PUT) {
            return applyLostAnswer(
                write(key, bodyOf(request), header(request, "If-None-Match"), header(request, "If-Match")));
        }
        const auto found = objects.find(key);
        if (found == objects.end()) {
            return { EVHTP_RES_NOTFOUND, {}, 0, false };
        }
        if (request->method == htp_method_DELETE) {
            objects.erase(found);
            recordChange(key);
            return applyLostAnswer({ EVHTP_RES_OK, "{}", 0, false });
        }
        return { EVHTP_RES_OK, found->second.first, found->second.second, false };
    }

    Response write(const std::string &key, std::string value, const std::string &ifNoneMatch,
                   const std::string &ifMatch)
    {
        const auto found = objects.find(key);
        const bool exists = found != objects.end();
        const std::string version = exists ? '"' + std::to_string(found->second.second) + '"' : "";
        if (value.size() > MaxValueBytes) {
            return { EVHTP_RES_ENTOOLARGE, {}, 0, false };
        }
        if ((ifNoneMatch == "*" && exists) || (!ifMatch.empty() && ifMatch != version)) {
            return { EVHTP_RES_PRECONDFAIL, {}, 0, false };
        }
        objects[key] = { std::move(value), version_ + 1 };
        recordChange(key);
        return { EVHTP_RES_OK, "{}", version_, false };
    }

    /** Drops the response of a successful write while loseAnswers is positive. */
    Response applyLostAnswer(Response response)
    {
        if (loseAnswers > 0 && response.status == EVHTP_RES_OK) {
            --loseAnswers;
            response.dropped = true;
        }
        return response;
    }

    void recordChange(const std::string &key)
    {
        changes_[key] = ++version_;
        for (PendingRequest &entry : pendingRequests_) {
            if (!entry.watchedPrefix.empty() && key.starts_with(entry.watchedPrefix)) {
                entry.timer->armAfter(Milliseconds(delayMs));
            }
        }
    }

    /** @return all keys if `after` is 0, otherwise the keys written or removed after that version */
    Response keysAfter(const std::string &prefix, std::uint64_t after) const
    {
        nlohmann::json keys = nlohmann::json::array();
        for (const auto &[key, version] : changes_) {
            if (key.starts_with(prefix) && (after == 0 ? objects.contains(key) : version > after)) {
                keys.push_back(key);
            }
        }
        return { EVHTP_RES_OK, nlohmann::json{ { "keys", keys }, { "version", version_ } }.dump(), 0, false };
    }

    void handleWatch(evhtp_request_t *request)
    {
        const std::string prefix = parameter(request, "prefix");
        const std::uint64_t after = std::strtoull(parameter(request, "after").c_str(), nullptr, 10);
        const int wait = std::atoi(parameter(request, "waitMs").c_str());
        const bool hasChanges = std::any_of(changes_.begin(), changes_.end(), [&](const auto &entry) {
            return entry.first.starts_with(prefix) && entry.second > after;
        });
        scheduleResponse(
            request, [this, prefix, after] { return keysAfter(prefix, after); }, prefix, hasChanges ? delayMs : wait);
    }

    void respondAfter(evhtp_request_t *request, Response response, int delay)
    {
        scheduleResponse(
            request, [response = std::move(response)] { return response; }, {}, delay);
    }

    void scheduleResponse(evhtp_request_t *request, std::function<Response()> makeResponse, const std::string &prefix,
                          int delay)
    {
        evhtp_request_pause(request);
        evhtp_request_set_hook(request, evhtp_hook_on_request_fini, reinterpret_cast<evhtp_hook>(&onRequestEnd), this);
        PendingRequest &entry = pendingRequests_.emplace_back();
        entry.request = request;
        entry.makeResponse = std::move(makeResponse);
        entry.watchedPrefix = prefix;
        entry.timer = std::make_unique<LoopTimer>(loop_, [this, request] { reply(request); });
        entry.timer->armAfter(Milliseconds(delay));
    }

    void reply(evhtp_request_t *request)
    {
        const auto entry = std::find_if(pendingRequests_.begin(), pendingRequests_.end(),
                                        [&](const PendingRequest &candidate) { return candidate.request == request; });
        const Response response = entry->makeResponse();
        // The entry owns the timer that is running this callback, so it must live until the callback has returned.
        finished_.clear();
        finished_.splice(finished_.begin(), pendingRequests_, entry);
        if (response.dropped) {
            evhtp_connection_free(evhtp_request_get_connection(request));
            return;
        }
        evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
        if (response.version != 0) {
            const std::string tag = '"' + std::to_string(response.version) + '"';
            evhtp_headers_add_header(request->headers_out, evhtp_header_new("ETag", tag.c_str(), 1, 1));
        }
        evhtp_send_reply(request, response.status);
        evhtp_request_resume(request);
    }

    EventLoop &loop_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> changes_; ///< version of the last write or removal by key
    nlohmann::json staleHostList_;
    std::list<PendingRequest> pendingRequests_;
    std::list<PendingRequest> finished_;
    std::unique_ptr<evhtp_t, decltype(&evhtp_free)> http_;
};

} // namespace poplarroad

#endif
