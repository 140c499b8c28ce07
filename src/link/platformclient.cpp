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

StoreVersion versionFrom(std::string_view tag)
{
    StoreVersion version = 0;
    if (tag.starts_with('"')) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size(), version);
    }
    return version;
}

/** Maps the HTTP status of an answer to an error; `precondition` is the meaning of 412 for the call. */
std::optional<StoreError> errorFor(int status, StoreError precondition)
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

StoreListResult keysFrom(const std::string &body)
{
    try {
        const auto object = nlohmann::json::parse(body);
        return { std::nullopt, object.at("keys").get<std::vector<std::string>>(),
                 object.at("version").get<StoreVersion>() };
    } catch (const std::exception &) {
        return { StoreError::Malformed, {}, 0 };
    }
}

std::vector<HostAddress> addressesFrom(const nlohmann::json &list)
{
    std::vector<HostAddress> addresses;
    for (const auto &item : list) {
        const auto address = parseHostAddress(item.get_ref<const std::string &>());
        if (!address) {
            throw std::runtime_error("address");
        }
        addresses.push_back(*address);
    }
    return addresses;
}

PlatformHostList hostsFrom(const std::string &body)
{
    try {
        const auto object = nlohmann::json::parse(body);
        return { std::nullopt, addressesFrom(object.at("live")), addressesFrom(object.at("leaving")) };
    } catch (const std::exception &) {
        return { StoreError::Malformed, {}, {} };
    }
}

} // namespace

PlatformClient::PlatformClient(EventLoop &loop, HostAddress platform, PlatformTiming timing)
    : timing_(timing)
    , caller_(loop, platform)
{
}

void PlatformClient::send(int method, const std::string &path, const std::optional<HttpCall::Header> &condition,
                          const std::string &body, Milliseconds timeout, std::function<void(Answer)> callback)
{
    caller_.send({ method, path, condition, body, timeout }, [this, callback = std::move(callback)](HttpAnswer answer) {
        Answer result;
        if (answer.failure) {
            result.error =
                *answer.failure == HttpFailure::AnswerLost ? StoreError::AnswerLost : StoreError::Unreachable;
        }
        result.status = answer.status;
        result.body = std::move(answer.body);
        result.version = versionFrom(answer.entityTag);
        reachable_ = !result.error && errorFor(result.status, StoreError::Refused) != StoreError::Busy;
        callback(std::move(result));
    });
}

void PlatformClient::get(const std::string &key, ReadCallback callback)
{
    send(EVHTTP_REQ_GET, objectPath(key), std::nullopt, {}, timing_.call,
         [callback = std::move(callback)](Answer answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::Refused);
             callback({ error, std::move(answer.body), answer.version });
         });
}

void PlatformClient::create(const std::string &key, const std::string &value, WriteCallback callback)
{
    send(EVHTTP_REQ_PUT, objectPath(key), HttpCall::Header{ "If-None-Match", "*" }, value, timing_.call,
         [callback = std::move(callback)](const Answer &answer) {
             callback({ answer.error ? answer.error : errorFor(answer.status, StoreError::Exists), answer.version });
         });
}

void PlatformClient::put(const std::string &key, const std::string &value, StoreVersion version, WriteCallback callback)
{
    send(EVHTTP_REQ_PUT, objectPath(key), HttpCall::Header{ "If-Match", '"' + std::to_string(version) + '"' }, value,
         timing_.call, [callback = std::move(callback)](const Answer &answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::VersionChanged);
             callback({ error, answer.version });
         });
}

void PlatformClient::remove(const std::string &key, WriteCallback callback)
{
    send(EVHTTP_REQ_DELETE, objectPath(key), std::nullopt, {}, timing_.call,
         [callback = std::move(callback)](const Answer &answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::VersionChanged);
             callback({ error, answer.version });
         });
}

void PlatformClient::list(const std::string &prefix, ListCallback callback)
{
    send(EVHTTP_REQ_GET, "/v1/list?prefix=" + encodeParameter(prefix), std::nullopt, {}, timing_.call,
         [callback = std::move(callback)](const Answer &answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::Refused);
             callback(error ? StoreListResult{ error, {}, 0 } : keysFrom(answer.body));
         });
}

void PlatformClient::watch(const std::string &prefix, StoreVersion after, ListCallback callback)
{
    const std::string path = "/v1/watch?prefix=" + encodeParameter(prefix) + "&after=" + std::to_string(after)
        + "&waitMs=" + std::to_string(timing_.watch.count());
    send(EVHTTP_REQ_GET, path, std::nullopt, {}, timing_.watch + timing_.call,
         [callback = std::move(callback)](const Answer &answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::Refused);
             callback(error ? StoreListResult{ error, {}, 0 } : keysFrom(answer.body));
         });
}

void PlatformClient::hosts(std::function<void(PlatformHostList)> callback)
{
    send(EVHTTP_REQ_GET, "/hosts", std::nullopt, {}, timing_.call,
         [callback = std::move(callback)](const Answer &answer) {
             const auto error = answer.error ? answer.error : errorFor(answer.status, StoreError::Refused);
             callback(error ? PlatformHostList{ error, {}, {} } : hostsFrom(answer.body));
         });
}

} // namespace poplarroad
