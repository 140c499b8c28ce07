#ifndef POPLARROAD_LINK_PLATFORMCLIENT_H
#define POPLARROAD_LINK_PLATFORMCLIENT_H

#include "httpclient.h"
#include "objectstore.h"

#include "base/eventloop.h"
#include "poplarroad/host.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** The platform's list of hosts. */
struct PlatformHostList
{
    std::optional<StoreError> error;
    std::vector<HostAddress> live;
    std::vector<HostAddress> leaving;
};

/** Timeouts of calls to the platform. */
struct PlatformTimeouts
{
    Milliseconds callTimeout{ 1000 };
    Milliseconds watchWait{ 20000 }; ///< how long the platform delays its response to a watch without changes
};

/** Client of the platform's HTTP API (docs/platform-api.md); used only in the thread of its event loop. */
class PlatformClient final : public ObjectStore
{
public:
    PlatformClient(EventLoop &loop, HostAddress platform, PlatformTimeouts timeouts = {});
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void get(const std::string &key, ReadCallback callback) override;
    void create(const std::string &key, const std::string &value, WriteCallback callback) override;
    void put(const std::string &key, const std::string &value, StoreVersion version, WriteCallback callback) override;
    void remove(const std::string &key, WriteCallback callback) override;
    void list(const std::string &prefix, ListCallback callback) override;
    void watch(const std::string &prefix, StoreVersion after, ListCallback callback) override;
    /** Reads the list of live and leaving hosts. */
    void readHosts(std::function<void(PlatformHostList)> callback);
    /** @return whether the last finished call got a response other than "busy" */
    bool isReachable() const
    {
        return reachable_;
    }

private:
    struct Response
    {
        std::optional<StoreError> error;
        int status = 0;
        std::string body;
        StoreVersion version = 0;
    };

    void send(int method, const std::string &path, const std::optional<HttpRequest::Header> &conditionalHeader,
              const std::string &body, Milliseconds timeout, std::function<void(Response)> callback);

    PlatformTimeouts timeouts_;
    bool reachable_ = false;
    HttpClient http_;
};

} // namespace poplarroad

#endif
