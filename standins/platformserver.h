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

/** Stand-in of the platform: the API of docs/platform-api.md in memory, with faults on request. */
class PlatformServer
{
public:
    /** @param port 0 for any free port of the loopback interface */
    PlatformServer(EventLoop &loop, std::uint16_t port)
        : loop_(loop)
        , http_(evhtp_new(loop.base(), nullptr), &evhtp_free)
    {
        evhtp_set_gencb(http_.get(), &PlatformServer::onRequest, this);
        evhtp_bind_socket(http_.get(), "127.0.0.1", port, 128);
    }
    ~PlatformServer()
    {
        waiting_.clear();
    }
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** @return the port that it listens on, 0 when it could not be bound */
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
    int delayMs = 0; ///< of each answer
    bool down = false; ///< connections are closed before the request takes effect
    bool busy = false; ///< requests are answered with 503
    int loseAnswers = 0; ///< so many of the next writes take effect and get no answer
    bool staleHosts = false; ///< the list of hosts stays as it was when this was set

private:
    static constexpr std::size_t LargestValue = 1 << 20;

    struct Answer
    {
        evhtp_res status = EVHTP_RES_OK;
        std::string body;
        std::uint64_t version = 0; ///< of the object; 0 for none
        bool lost = false;
    };
    /** A request whose answer is due later. */
    struct Waiting
    {
        evhtp_request_t *request = nullptr;
        std::function<Answer()> answer;
        std::string watchedPrefix; ///< not empty for a watch
        std::unique_ptr<LoopTimer> timer;
        PlatformServer *server = nullptr;
    };

    static void onRequest(evhtp_request_t *request, void *server)
    {
        static_cast<PlatformServer *>(server)->handle(request);
    }
    static evhtp_res onRequestEnd(evhtp_request_t *request, void *server)
    {
        auto &waiting = static_cast<PlatformServer *>(server)->waiting_;
        waiting.remove_if([&](const Waiting &entry) { return entry.request == request; });
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
            answerLater(request, setFaults(bodyOf(request)), 0);
        } else if (down) {
            answerLater(request, Answer{ EVHTP_RES_OK, {}, 0, true }, delayMs);
        } else if (busy) {
            answerLater(request, Answer{ EVHTP_RES_SERVUNAVAIL, {}, 0, false }, delayMs);
        } else if (path == "/hosts") {
            answerLater(request, handleHosts(request), delayMs);
        } else if (path.starts_with("/v1/objects/")) {
            answerLater(request, handleObject(request, path.substr(std::string("/v1/objects/").size())), delayMs);
        } else if (path == "/v1/list") {
            answerLater(request, keysAfter(parameter(request, "prefix"), 0), delayMs);
        } else if (path == "/v1/watch") {
            handleWatch(request);
        } else {
            answerLater(request, Answer{ EVHTP_RES_NOTFOUND, {}, 0, false }, 0);
        }
    }

    Answer setFaults(const std::string &body)
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
            oldHosts_ = hosts;
        }
        staleHosts = stale;
        return { EVHTP_RES_OK, "{}", 0, false };
    }

    Answer handleHosts(evhtp_request_t *request)
    {
        if (request->method == htp_method_PUT) {
            const auto list = nlohmann::json::parse(bodyOf(request), nullptr, false);
            if (!list.is_object()) {
                return { EVHTP_RES_BADREQ, {}, 0, false };
            }
            hosts = list;
        }
        return { EVHTP_RES_OK, (staleHosts ? oldHosts_ : hosts).dump(), 0, false };
    }

    Answer handleObject(evhtp_request_t *request, const std::string &key)
    {
        if (request->method == htp_method_PUT) {
            return lose(write(key, bodyOf(request), header(request, "If-None-Match"), header(request, "If-Match")));
        }
        const auto found = objects.find(key);
        if (found == objects.end()) {
            return { EVHTP_RES_NOTFOUND, {}, 0, false };
        }
        if (request->method == htp_method_DELETE) {
            objects.erase(found);
            changed(key);
            return lose({ EVHTP_RES_OK, "{}", 0, false });
        }
        return { EVHTP_RES_OK, found->second.first, found->second.second, false };
    }

    Answer write(const std::string &key, std::string value, const std::string &ifNoneMatch, const std::string &ifMatch)
    {
        const auto found = objects.find(key);
        const bool exists = found != objects.end();
        const std::string version = exists ? '"' + std::to_string(found->second.second) + '"' : "";
        if (value.size() > LargestValue) {
            return { EVHTP_RES_ENTOOLARGE, {}, 0, false };
        }
        if ((ifNoneMatch == "*" && exists) || (!ifMatch.empty() && ifMatch != version)) {
            return { EVHTP_RES_PRECONDFAIL, {}, 0, false };
        }
        objects[key] = { std::move(value), version_ + 1 };
        changed(key);
        return { EVHTP_RES_OK, "{}", version_, false };
    }

    /** Drops the answer of a write that took effect, as often as was asked for. */
    Answer lose(Answer answer)
    {
        if (loseAnswers > 0 && answer.status == EVHTP_RES_OK) {
            --loseAnswers;
            answer.lost = true;
        }
        return answer;
    }

    void changed(const std::string &key)
    {
        changes_[key] = ++version_;
        for (Waiting &entry : waiting_) {
            if (!entry.watchedPrefix.empty() && key.starts_with(entry.watchedPrefix)) {
                entry.timer->armAfter(Milliseconds(delayMs));
            }
        }
    }

    /** Keys of objects for after = 0, otherwise the keys that changed after the version. */
    Answer keysAfter(const std::string &prefix, std::uint64_t after) const
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
        const bool news = std::any_of(changes_.begin(), changes_.end(), [&](const auto &entry) {
            return entry.first.starts_with(prefix) && entry.second > after;
        });
        hold(
            request, [this, prefix, after] { return keysAfter(prefix, after); }, prefix, news ? delayMs : wait);
    }

    void answerLater(evhtp_request_t *request, Answer answer, int delay)
    {
        hold(
            request, [answer = std::move(answer)] { return answer; }, {}, delay);
    }

    void hold(evhtp_request_t *request, std::function<Answer()> answer, const std::string &prefix, int delay)
    {
        evhtp_request_pause(request);
        evhtp_request_set_hook(request, evhtp_hook_on_request_fini, reinterpret_cast<evhtp_hook>(&onRequestEnd), this);
        Waiting &entry = waiting_.emplace_back();
        entry.request = request;
        entry.answer = std::move(answer);
        entry.watchedPrefix = prefix;
        entry.timer = std::make_unique<LoopTimer>(loop_, [this, request] { reply(request); });
        entry.timer->armAfter(Milliseconds(delay));
    }

    void reply(evhtp_request_t *request)
    {
        const auto entry = std::find_if(waiting_.begin(), waiting_.end(),
                                        [&](const Waiting &candidate) { return candidate.request == request; });
        const Answer answer = entry->answer();
        // The entry holds the running timer, so it is kept until the timer's callback has returned.
        finished_.clear();
        finished_.splice(finished_.begin(), waiting_, entry);
        if (answer.lost) {
            evhtp_connection_free(evhtp_request_get_connection(request));
            return;
        }
        evbuffer_add(request->buffer_out, answer.body.data(), answer.body.size());
        if (answer.version != 0) {
            const std::string tag = '"' + std::to_string(answer.version) + '"';
            evhtp_headers_add_header(request->headers_out, evhtp_header_new("ETag", tag.c_str(), 1, 1));
        }
        evhtp_send_reply(request, answer.status);
        evhtp_request_resume(request);
    }

    EventLoop &loop_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> changes_; ///< version of the last write or removal by key
    nlohmann::json oldHosts_;
    std::list<Waiting> waiting_;
    std::list<Waiting> finished_;
    std::unique_ptr<evhtp_t, decltype(&evhtp_free)> http_;
};

} // namespace poplarroad

#endif
