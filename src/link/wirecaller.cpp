#include "link/wireenvelope.h"
#include "poplarroad/visitor.h"

namespace poplarroad::wire
{

namespace
{

void writeTrace(schema::Trace::Builder to, const TraceContext &trace)
{
    to.setHigh(trace.traceHigh);
    to.setLow(trace.traceLow);
    to.setParentSpan(trace.parentSpan);
}

TraceContext readTrace(schema::Trace::Reader from)
{
    return { from.getHigh(), from.getLow(), from.getParentSpan() };
}

/** Verifies and decodes the token of a message; sets `token` and `tokenRejected`. */
template<typename Message, typename Reader>
void decodeToken(Message &message, Reader from, TokenCodec *tokens)
{
    message.tokenRejected = from.getTokenRejected();
    if (tokens == nullptr || from.getToken().size() == 0 || message.tokenRejected) {
        return;
    }
    message.token = tokens->decode(toText(from.getToken()));
    message.tokenRejected = !message.token.has_value();
}

template<typename Message>
void writeFlowCall(schema::FlowCall::Builder to, FlowId flow, const Message &message, std::string_view token)
{
    to.setFlow(flow.value);
    to.setService(message.service.value);
    to.setCaller(message.caller.value);
    to.setTokenRejected(message.tokenRejected);
    if (!token.empty()) {
        to.setToken(toData(token));
    }
}

template<typename Message>
Message readFlowCall(schema::FlowCall::Reader from, TokenCodec *tokens)
{
    Message message;
    if constexpr (std::is_same_v<Message, CancelMessage>) {
        message.id = { FlowId{ from.getFlow() }, from.getSequence() };
    } else {
        message.flow = FlowId{ from.getFlow() };
    }
    message.service = ServiceId{ from.getService() };
    message.caller = CallerId{ from.getCaller() };
    decodeToken(message, from, tokens);
    return message;
}

template<typename Builder, typename Message>
void writeReplyHeader(Builder to, const Message &message)
{
    to.setFlow(message.id.flow.value);
    to.setSequence(message.id.sequence);
    to.setService(message.service.value);
    to.setCaller(message.caller.value);
}

template<typename Message, typename Reader>
Message readReplyHeader(Reader from)
{
    Message message;
    message.id = { FlowId{ from.getFlow() }, from.getSequence() };
    message.service = ServiceId{ from.getService() };
    message.caller = CallerId{ from.getCaller() };
    return message;
}

template<typename Builder>
void writeReplyToken(Builder to, std::string_view token)
{
    if (!token.empty()) {
        to.setToken(toData(token));
    }
}

ReceivedReply readAnswer(schema::Answer::Reader from)
{
    ReceivedReply received;
    auto answer = readReplyHeader<AnswerMessage>(from);
    answer.position = from.getPosition();
    answer.last = from.getLast();
    answer.trace = readTrace(from.getTrace());
    answer.payload = toText(from.getPayload());
    received.part = from.getPart();
    received.parts = from.getParts();
    if (received.part >= received.parts || received.parts > MaxAnswerParts) {
        throw DecodeError{ WireError::InvalidValue };
    }
    received.token = toText(from.getToken());
    received.reply = std::move(answer);
    return received;
}

ReceivedReply readNotRun(schema::NotRun::Reader from)
{
    auto message = readReplyHeader<NotRunMessage>(from);
    message.reason = checkedEnum<NotRunReason>(from.getReason());
    message.retryAfter = Milliseconds(from.getRetryAfterMs());
    return { message, toText(from.getToken()) };
}

ReceivedReply readUnknown(schema::Unknown::Reader from)
{
    auto message = readReplyHeader<UnknownMessage>(from);
    message.reason = checkedEnum<UnknownReason>(from.getReason());
    return { message, {} };
}

ReceivedReply readRenewed(schema::Renewed::Reader from)
{
    RenewedMessage message;
    message.flow = FlowId{ from.getFlow() };
    message.service = ServiceId{ from.getService() };
    message.caller = CallerId{ from.getCaller() };
    return { message, toText(from.getToken()) };
}

} // namespace

void writeRequest(schema::Request::Builder to, const RequestMessage &request, std::string_view token)
{
    to.setFlow(request.id.flow.value);
    to.setSequence(request.id.sequence);
    to.setService(request.service.value);
    to.setKind(request.kind.value);
    to.setCaller(request.caller.value);
    to.setRemainingMs(static_cast<std::uint32_t>(std::max<std::int64_t>(request.remaining.count(), 0)));
    to.setAttempt(request.attempt);
    to.setResumeFrom(request.resumeFrom);
    to.setTokenRejected(request.tokenRejected);
    if (!token.empty()) {
        to.setToken(toData(token));
    }
    writeTrace(to.initTrace(), request.trace);
    to.setPayload(toData(request.payload));
}

RequestMessage readRequest(schema::Request::Reader from, TokenCodec *tokens)
{
    RequestMessage request;
    request.id = { FlowId{ from.getFlow() }, from.getSequence() };
    request.service = ServiceId{ from.getService() };
    request.kind = KindId{ from.getKind() };
    request.caller = CallerId{ from.getCaller() };
    request.remaining = Milliseconds(from.getRemainingMs());
    request.attempt = from.getAttempt();
    request.resumeFrom = from.getResumeFrom();
    request.trace = readTrace(from.getTrace());
    request.payload = toText(from.getPayload());
    decodeToken(request, from, tokens);
    return request;
}

void writeCallerMessage(schema::Envelope::Builder envelope, const CallerMessage &message, std::string_view token)
{
    std::visit(Visitor{
                   [&](const RequestMessage &request) { writeRequest(envelope.initRequest(), request, token); },
                   [&](const CancelMessage &cancel) {
                       auto to = envelope.initCancel();
                       to.setSequence(cancel.id.sequence);
                       writeFlowCall(to, cancel.id.flow, cancel, token);
                   },
                   [&](const RenewMessage &renew) {
                       auto to = envelope.initRenew();
                       writeTrace(to.initTrace(), renew.trace);
                       to.setRemainingMs(
                           static_cast<std::uint32_t>(std::max<std::int64_t>(renew.remaining.count(), 0)));
                       writeFlowCall(to, renew.flow, renew, token);
                   },
                   [&](const CloseMessage &close) { writeFlowCall(envelope.initClose(), close.flow, close, token); },
               },
               message);
}

CallerMessage readCallerMessage(schema::Envelope::Reader envelope, TokenCodec *tokens)
{
    switch (envelope.which()) {
    case schema::Envelope::REQUEST:
        return readRequest(envelope.getRequest(), tokens);
    case schema::Envelope::CANCEL:
        return readFlowCall<CancelMessage>(envelope.getCancel(), tokens);
    case schema::Envelope::RENEW: {
        auto renew = readFlowCall<RenewMessage>(envelope.getRenew(), tokens);
        renew.trace = readTrace(envelope.getRenew().getTrace());
        renew.remaining = Milliseconds(envelope.getRenew().getRemainingMs());
        return renew;
    }
    case schema::Envelope::CLOSE:
        return readFlowCall<CloseMessage>(envelope.getClose(), tokens);
    default:
        throw DecodeError{ WireError::UnexpectedKind };
    }
}

std::string encodedTokenOf(const CallerMessage &message, const TokenCodec &tokens)
{
    return std::visit([&](const auto &any) { return any.token ? tokens.encode(*any.token) : std::string(); }, message);
}

std::string encodedTokenOf(const CallerReply &reply, const TokenCodec &tokens)
{
    const auto encodedToken = [&](const std::optional<FlowToken> &token) {
        return token ? tokens.encode(*token) : std::string();
    };
    return std::visit(Visitor{
                          [&](const AnswerMessage &answer) { return encodedToken(answer.token); },
                          [&](const NotRunMessage &notRun) { return encodedToken(notRun.token); },
                          [](const UnknownMessage &) { return std::string(); },
                          [&](const RenewedMessage &renewed) { return encodedToken(renewed.token); },
                      },
                      reply);
}

void writeReply(schema::Envelope::Builder envelope, const CallerReply &reply, std::string_view token,
                const ReplyPart &part)
{
    std::visit(Visitor{
                   [&](const AnswerMessage &answer) {
                       auto to = envelope.initAnswer();
                       writeReplyHeader(to, answer);
                       to.setPosition(answer.position);
                       to.setLast(answer.last);
                       to.setPart(part.part);
                       to.setParts(part.parts);
                       writeReplyToken(to, token);
                       writeTrace(to.initTrace(), answer.trace);
                       to.setPayload(toData(part.payload));
                   },
                   [&](const NotRunMessage &notRun) {
                       auto to = envelope.initNotRun();
                       writeReplyHeader(to, notRun);
                       to.setReason(static_cast<std::uint8_t>(notRun.reason));
                       to.setRetryAfterMs(static_cast<std::uint32_t>(notRun.retryAfter.count()));
                       writeReplyToken(to, token);
                   },
                   [&](const UnknownMessage &unknown) {
                       auto to = envelope.initUnknown();
                       writeReplyHeader(to, unknown);
                       to.setReason(static_cast<std::uint8_t>(unknown.reason));
                   },
                   [&](const RenewedMessage &renewed) {
                       auto to = envelope.initRenewed();
                       to.setFlow(renewed.flow.value);
                       to.setService(renewed.service.value);
                       to.setCaller(renewed.caller.value);
                       writeReplyToken(to, token);
                   },
               },
               reply);
}

ReceivedReply readReply(schema::Envelope::Reader envelope)
{
    switch (envelope.which()) {
    case schema::Envelope::ANSWER:
        return readAnswer(envelope.getAnswer());
    case schema::Envelope::NOT_RUN:
        return readNotRun(envelope.getNotRun());
    case schema::Envelope::UNKNOWN:
        return readUnknown(envelope.getUnknown());
    case schema::Envelope::RENEWED:
        return readRenewed(envelope.getRenewed());
    default:
        throw DecodeError{ WireError::UnexpectedKind };
    }
}

} // namespace poplarroad::wire
