#include "platformclient.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <stdexcept>

namespace poplarroad
{

namespace
{

constexpr int HttpCreated = 201;
constexpr int HttpPreconditionFailed = 412;
constexpr int HttpTooManyRequests = 429;

std::string encodeParameter(const std::string &text)
{
    const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_encode_uri(text.c_str()), &std::free);
    return encoded.get();
}

std::string objectPath(const std::string &key)
{
    return "/v1/objects/" + key;
}

StoreVersion versionFromEtag(std::string_view tag)
{
    StoreVersion version = 0;
    if (tag.starts_with('"')) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size(), version);
    }
    return version;
}

/**
 * Maps the HTTP status of a response to an error.
 *
 * @param precondition meaning of status 412 for the call
 */
std::optional<StoreError> errorFromStatus(int status, StoreError precondition)
{
    switch (status) {
    case HTTP_OK:
    case HttpCreated:
    case HTTP_NOCONTENT:
        return std::nullopt;
    case HTTP_NOTFOUND:
        return StoreError::NotFound;
    case HttpPreconditionFailed:
        return precondition;
    case HTTP_ENTITYTOOLARGE:
        return StoreError::TooLarge;
    case HttpTooManyRequests:
    case HTTP_SERVUNAVAIL:
        return StoreError::Busy;
    case HTTP_BADREQUEST:
        return StoreError::Refused;
    default:
        return StoreError::Malformed;
    }
}

StoreListResult parseList(const std::string &body)
{
    try {
        const auto object = nlohmann::json::parse(body);
        return { std::nullopt, object.at("keys").get<std::vector<std::string>>(),
                 object.at("version").get<StoreVersion>() };
    } catch (const std::exception &) {
        return { StoreError::Malformed, {}, 0 };
    }
}

std::vector<HostAddress> parseAddresses(const nlohmann::json &list)
{
    std::vector<HostAddress> addresses;
    for (const auto &item : list) {
        const auto address = parseHostAddress(item.get_ref<const std::string &>());
        if (!address) {
            throw std::runtime_error("invalid host address");
        }
        addresses.push_back(*address);
    }
    return addresses;
}

PlatformHostList parseHosts(const std::string &body)
{
    try {
        const auto object = nlohmann::json::parse(body);
        return { std::nullopt, parseAddresses(object.at("live")), parseAddresses(object.at("leaving")) };
    } catch (const std::exception &) {
        return { StoreError::Malformed, {}, {} };
    }
}

} // namespace

PlatformClient::PlatformClient(EventLoop &loop, HostAddress platform, PlatformTimeouts timeouts)
    : timeouts_(timeouts)
    , http_(loop, platform)
{
}

void PlatformClient::send(int method, const std::string &path,
                          const std::optional<HttpRequest::Header> &conditionalHeader, const std::string &body,
                          Milliseconds timeout, std::function<void(Response)> callback)
{
    http_.send({ method, path, conditionalHeader, body, timeout },
               [this, callback = std::move(callback)](HttpResponse response) {
                   Response result;
                   if (response.failure) {
                       result.error = *response.failure == HttpFailure::AnswerLost ? StoreError::AnswerLost
                                                                                   : StoreError::Unreachable;
                   }
                   result.status = response.status;
                   result.body = std::move(response.body);
                   result.version = versionFromEtag(response.etag);
                   reachable_ =
                       !result.error && errorFromStatus(result.status, StoreError::Refused) != StoreError::Busy;
                   callback(std::move(result));
               });
}

void PlatformClient::get(const std::string &key, ReadCallback callback)
{
    send(EVHTTP_REQ_GET, objectPath(key), std::nullopt, {}, timeouts_.callTimeout,
         [callback = std::move(callback)](Response response) {
             const auto error = response.error ? response.error : errorFromStatus(response.status, StoreError::Refused);
             callback({ error, std::move(response.body), response.version });
         });
}

void PlatformClient::create(const std::string &key, const std::string &value, WriteCallback callback)
{
    send(EVHTTP_REQ_PUT, objectPath(key), HttpRequest::Header{ "If-None-Match", "*" }, value, timeouts_.callTimeout,
         [callback = std::move(callback)](const Response &response) {
             callback({ response.error ? response.error : errorFromStatus(response.status, StoreError::Exists),
                        response.version });
         });
}

void PlatformClient::put(const std::string &key, const std::string &value, StoreVersion version, WriteCallback callback)
{
    send(EVHTTP_REQ_PUT, objectPath(key), HttpRequest::Header{ "If-Match", '"' + std::to_string(version) + '"' }, value,
         timeouts_.callTimeout, [callback = std::move(callback)](const Response &response) {
             const auto error =
                 response.error ? response.error : errorFromStatus(response.status, StoreError::VersionChanged);
             callback({ error, response.version });
         });
}

void PlatformClient::remove(const std::string &key, WriteCallback callback)
{
    send(EVHTTP_REQ_DELETE, objectPath(key), std::nullopt, {}, timeouts_.callTimeout,
         [callback = std::move(callback)](const Response &response) {
             const auto error =
                 response.error ? response.error : errorFromStatus(response.status, StoreError::VersionChanged);
             callback({ error, response.version });
         });
}

void PlatformClient::list(const std::string &prefix, ListCallback callback)
{
    send(EVHTTP_REQ_GET, "/v1/list?prefix=" + encodeParameter(prefix), std::nullopt, {}, timeouts_.callTimeout,
         [callback = std::move(callback)](const Response &response) {
             const auto error = response.error ? response.error : errorFromStatus(response.status, StoreError::Refused);
             callback(error ? StoreListResult{ error, {}, 0 } : parseList(response.body));
         });
}

void PlatformClient::watch(const std::string &prefix, StoreVersion after, ListCallback callback)
{
    const std::string path = "/v1/watch?prefix=" + encodeParameter(prefix) + "&after=" + std::to_string(after)
        + "&waitMs=" + std::to_string(timeouts_.watchWait.count());
    send(EVHTTP_REQ_GET, path, std::nullopt, {}, timeouts_.watchWait + timeouts_.callTimeout,
         [callback = std::move(callback)](const Response &response) {
             const auto error = response.error ? response.error : errorFromStatus(response.status, StoreError::Refused);
             callback(error ? StoreListResult{ error, {}, 0 } : parseList(response.body));
         });
}

void PlatformClient::readHosts(std::function<void(PlatformHostList)> callback)
{
    send(EVHTTP_REQ_GET, "/hosts", std::nullopt, {}, timeouts_.callTimeout,
         [callback = std::move(callback)](const Response &response) {
             const auto error = response.error ? response.error : errorFromStatus(response.status, StoreError::Refused);
             callback(error ? PlatformHostList{ error, {}, {} } : parseHosts(response.body));
         });
}

} // namespace poplarroad
