#include "routemessages.h"

#include "poplarroad/visitor.h"

namespace poplarroad
{

RequestId requestIdOf(const CallerMessage &message)
{
    return std::visit(Visitor{
                          [](const RequestMessage &request) { return request.id; },
                          [](const CancelMessage &cancel) { return cancel.id; },
                          [](const RenewMessage &renew) {
                              return RequestId{ renew.flow, 0 };
                          },
                          [](const CloseMessage &close) {
                              return RequestId{ close.flow, 0 };
                          },
                      },
                      message);
}

ServiceId serviceOf(const CallerMessage &message)
{
    return std::visit([](const auto &content) { return content.service; }, message);
}

CallerId callerOf(const CallerMessage &message)
{
    return std::visit([](const auto &content) { return content.caller; }, message);
}

const std::optional<FlowToken> &tokenOf(const CallerMessage &message)
{
    return std::visit([](const auto &content) -> const std::optional<FlowToken> & { return content.token; }, message);
}

bool sentWithBindingToken(const CallerMessage &message)
{
    return std::visit(
        [](const auto &content) {
            return content.tokenRejected || (content.token && content.token->bindsToDispatcher());
        },
        message);
}

void dropToken(CallerMessage &message)
{
    std::visit(
        [](auto &content) {
            content.token.reset();
            content.tokenRejected = false;
        },
        message);
}

void rejectMismatchedToken(CallerMessage &message)
{
    const FlowId flow = requestIdOf(message).flow;
    std::visit(
        [&](auto &content) {
            if (content.tokenRejected
                || (content.token && (content.token->service != content.service || content.token->flow != flow))) {
                content.token.reset();
                content.tokenRejected = true;
            }
        },
        message);
}

PendingKey pendingKeyOf(const CallerMessage &message, std::uint64_t endpoint)
{
    return { serviceOf(message), callerOf(message), requestIdOf(message), endpoint };
}

PendingKey pendingKeyOf(const CallerReply &reply, std::uint64_t endpoint)
{
    return std::visit(Visitor{
                          [&](const RenewedMessage &renewed) {
                              return PendingKey{ renewed.service, renewed.caller, { renewed.flow, 0 }, endpoint };
                          },
                          [&](const auto &outcome) {
                              return PendingKey{ outcome.service, outcome.caller, outcome.id, endpoint };
                          },
                      },
                      reply);
}

} // namespace poplarroad
