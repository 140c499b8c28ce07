#ifndef POPLARROAD_REQUEST_H
#define POPLARROAD_REQUEST_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/flow.h"
#include "poplarroad/id.h"

#include <optional>
#include <string>
#include <variant>

namespace poplarroad
{

/** Identity of a request; the caller numbers the requests of a flow from 1 and never reuses a number. */
struct RequestId
{
    FlowId flow;
    std::uint64_t sequence = 0;

    friend constexpr auto operator<=>(const RequestId &, const RequestId &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const RequestId &id)
    {
        return Hash::combine(std::move(state), id.flow, id.sequence);
    }
};

/** Trace context, propagated in every message of a request. */
struct TraceContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t parentSpan = 0;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/** Why a request was certainly not run. */
enum class NotRunReason : std::uint8_t {
    TokenRequired, ///< a non-idempotent request needs a token from the current dispatcher
    Moved, ///< another balancer dispatches the pool now; renew the token
    Draining, ///< the dispatcher is stopping; renew the token
    QueueFull,
    DeadlineInfeasible, ///< the estimated wait is longer than the remaining deadline
    DeadlinePassed, ///< the deadline passed while the request was queued
    Cancelled,
    CallerLimit, ///< the caller has as many requests in the pool as its contract allows
    ConnectionLimit, ///< no target has a free long-lived connection
    TargetRefused, ///< every target that was tried shed the request
    NoTarget, ///< the pool has no target that takes new work
    Paused, ///< the dispatcher was paused while the request was queued
    UnknownService,
    UnknownKind,
    Malformed,
    Overload, ///< refused at the ingress while its urgency is shed
};

template<>
struct EnumNames<NotRunReason>
{
    static constexpr std::array table{
        EnumName<NotRunReason>{ NotRunReason::TokenRequired, "token-required" },
        EnumName<NotRunReason>{ NotRunReason::Moved, "moved" },
        EnumName<NotRunReason>{ NotRunReason::Draining, "draining" },
        EnumName<NotRunReason>{ NotRunReason::QueueFull, "queue-full" },
        EnumName<NotRunReason>{ NotRunReason::DeadlineInfeasible, "deadline-infeasible" },
        EnumName<NotRunReason>{ NotRunReason::DeadlinePassed, "deadline-passed" },
        EnumName<NotRunReason>{ NotRunReason::Cancelled, "cancelled" },
        EnumName<NotRunReason>{ NotRunReason::CallerLimit, "caller-limit" },
        EnumName<NotRunReason>{ NotRunReason::ConnectionLimit, "connection-limit" },
        EnumName<NotRunReason>{ NotRunReason::TargetRefused, "target-refused" },
        EnumName<NotRunReason>{ NotRunReason::NoTarget, "no-target" },
        EnumName<NotRunReason>{ NotRunReason::Paused, "paused" },
        EnumName<NotRunReason>{ NotRunReason::UnknownService, "unknown-service" },
        EnumName<NotRunReason>{ NotRunReason::UnknownKind, "unknown-kind" },
        EnumName<NotRunReason>{ NotRunReason::Malformed, "malformed" },
        EnumName<NotRunReason>{ NotRunReason::Overload, "overload" },
    };
};

/** Why it is unknown whether a request ran. */
enum class UnknownReason : std::uint8_t {
    DispatcherLost, ///< the dispatcher that the token is bound to died, restarted or is unreachable
    TargetLost, ///< the connection broke after the request was written to the target
    DeadlinePassed, ///< no answer arrived within the deadline
    TokenRejected, ///< the token does not verify here; another balancer may have accepted it
    TokenExpired, ///< the request may be older than the dispatcher's record of the flow
    AnswerDropped, ///< the request ran, but its answer is no longer stored
    Cancelled, ///< cancelled after it was written to the target
};

template<>
struct EnumNames<UnknownReason>
{
    static constexpr std::array table{
        EnumName<UnknownReason>{ UnknownReason::DispatcherLost, "dispatcher-lost" },
        EnumName<UnknownReason>{ UnknownReason::TargetLost, "target-lost" },
        EnumName<UnknownReason>{ UnknownReason::DeadlinePassed, "deadline-passed" },
        EnumName<UnknownReason>{ UnknownReason::TokenRejected, "token-rejected" },
        EnumName<UnknownReason>{ UnknownReason::TokenExpired, "token-expired" },
        EnumName<UnknownReason>{ UnknownReason::AnswerDropped, "answer-dropped" },
        EnumName<UnknownReason>{ UnknownReason::Cancelled, "cancelled" },
    };
};

/** A request from a caller. */
struct RequestMessage
{
    RequestId id;
    ServiceId service;
    KindId kind;
    CallerId caller;
    std::optional<FlowToken> token; ///< verified by the front end; nullopt when the caller sent none
    bool tokenRejected = false; ///< the token that the caller sent failed verification
    Milliseconds remaining{ 0 }; ///< until the caller's deadline; 0 means the deadline of the contract
    std::uint32_t attempt = 0; ///< number of earlier attempts
    std::uint64_t resumeFrom = 0; ///< feeds: the last position that the caller received
    TraceContext trace;
    std::string payload;

    friend bool operator==(const RequestMessage &, const RequestMessage &) = default;
};

/** The caller no longer wants an answer. */
struct CancelMessage
{
    RequestId id;
    ServiceId service;
    CallerId caller;
    std::optional<FlowToken> token;
    bool tokenRejected = false;

    friend bool operator==(const CancelMessage &, const CancelMessage &) = default;
};

/** The caller asks for a new token of its flow, or for its first one. */
struct RenewMessage
{
    FlowId flow;
    ServiceId service;
    CallerId caller;
    std::optional<FlowToken> token;
    bool tokenRejected = false;
    TraceContext trace;
    Milliseconds remaining{ 0 }; ///< until the caller stops waiting; 0 means the router's default

    friend bool operator==(const RenewMessage &, const RenewMessage &) = default;
};

/** The caller ends its flow. */
struct CloseMessage
{
    FlowId flow;
    ServiceId service;
    CallerId caller;
    std::optional<FlowToken> token;
    bool tokenRejected = false;

    friend bool operator==(const CloseMessage &, const CloseMessage &) = default;
};

using CallerMessage = std::variant<RequestMessage, CancelMessage, RenewMessage, CloseMessage>;

/** A complete answer, or one of the numbered answers of a feed. */
struct AnswerMessage
{
    RequestId id;
    ServiceId service;
    CallerId caller;
    std::uint64_t position = 0; ///< feeds: number of this answer, from 1; 0 for a single answer
    bool last = true; ///< no further answer follows
    std::optional<FlowToken> token; ///< a new token of the flow
    TraceContext trace;
    std::string payload;

    friend bool operator==(const AnswerMessage &, const AnswerMessage &) = default;
};

/** The request was certainly not run. */
struct NotRunMessage
{
    RequestId id;
    ServiceId service;
    CallerId caller;
    NotRunReason reason = NotRunReason::Malformed;
    Milliseconds retryAfter{ 0 }; ///< estimated time until a retry can succeed; 0 if unknown
    std::optional<FlowToken> token;

    friend bool operator==(const NotRunMessage &, const NotRunMessage &) = default;
};

/** It is unknown whether the request was run. */
struct UnknownMessage
{
    RequestId id;
    ServiceId service;
    CallerId caller;
    UnknownReason reason = UnknownReason::DispatcherLost;

    friend bool operator==(const UnknownMessage &, const UnknownMessage &) = default;
};

/** A new token for a flow, in reply to a RenewMessage. */
struct RenewedMessage
{
    FlowId flow;
    ServiceId service;
    CallerId caller;
    FlowToken token;

    friend bool operator==(const RenewedMessage &, const RenewedMessage &) = default;
};

using CallerReply = std::variant<AnswerMessage, NotRunMessage, UnknownMessage, RenewedMessage>;

/** Where to send a reply: an endpoint (socket address or connection) of the ingress that received the request. */
struct ReturnPath
{
    HostAddress ingress;
    std::uint64_t endpoint = 0; ///< meaningful only to that ingress

    friend bool operator==(const ReturnPath &, const ReturnPath &) = default;
};

} // namespace poplarroad

#endif
