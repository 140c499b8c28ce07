#include "host/tracer.h"

#include "poplarroad/visitor.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace poplarroad
{

namespace
{

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::string nanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

} // namespace

std::string toJsonLine(const Span &span)
{
    nlohmann::json line{
        { "traceId", hex(span.trace.traceHigh) + hex(span.trace.traceLow) },
        { "spanId", hex(span.spanId) },
        { "parentSpanId", span.trace.parentSpan == 0 ? std::string() : hex(span.trace.parentSpan) },
        { "name", span.name },
        { "startTimeUnixNano", nanoseconds(span.start) },
        { "endTimeUnixNano", nanoseconds(span.end) },
        { "attributes", nlohmann::json::array() },
    };
    for (const auto &[key, value] : span.attributes) {
        line["attributes"].push_back({ { "key", key }, { "value", { { "stringValue", value } } } });
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

TraceTask::TraceTask(const std::string &path)
    : mailbox_(loop_,
               [this](TraceTaskMessage &&message) {
                   std::visit(Visitor{
                                  [this](const Span &span) { file_ << toJsonLine(span) << '\n'; },
                                  [this](const StopTask &) { loop_.stop(); },
                              },
                              message);
               })
    , file_(path, std::ios::app)
{
}

void TraceTask::start()
{
    thread_.start(loop_, "trace");
}

void TraceTask::post(TraceTaskMessage message)
{
    mailbox_.post(std::move(message));
}

void TraceTask::join()
{
    thread_.join();
    file_.flush();
}

Tracer::Tracer(double sampleRatio, Post post)
    : sampleRatio_(sampleRatio)
    , post_(std::move(post))
    , spanIds_(std::random_device()())
{
}

bool Tracer::sampled(const TraceContext &trace) const
{
    constexpr double scale = 18446744073709551616.0; // 2^64
    // The trace id is hashed, since callers may assign consecutive ids.
    return post_ && trace != TraceContext{}
    && static_cast<double>(rendezvousWeight(trace.traceLow, trace.traceHigh)) < sampleRatio_ * scale;
}

void Tracer::begin(const RequestId &id, TraceContext &trace, std::string_view name)
{
    if (!sampled(trace) || openSpans_.size() >= MaxOpenSpans) {
        return;
    }
    Span span{ trace, spanIds_(), std::string(name), std::chrono::system_clock::now(), {}, {} };
    trace.parentSpan = span.spanId;
    openSpans_.insert_or_assign(id, std::move(span));
}

void Tracer::end(const RequestId &id, std::string_view outcome)
{
    const auto found = openSpans_.empty() ? openSpans_.end() : openSpans_.find(id);
    if (found == openSpans_.end()) {
        return;
    }
    Span span = std::move(found->second);
    openSpans_.erase(found);
    span.end = std::chrono::system_clock::now();
    span.attributes = { { "flow", std::to_string(id.flow.value) },
                        { "sequence", std::to_string(id.sequence) },
                        { "outcome", std::string(outcome) } };
    post_(std::move(span));
}

std::string_view outcomeOf(const CallerReply &reply)
{
    return std::visit(Visitor{
                          [](const AnswerMessage &) { return std::string_view("answered"); },
                          [](const NotRunMessage &notRun) { return nameOf(notRun.reason); },
                          [](const UnknownMessage &) { return std::string_view("unknown"); },
                          [](const RenewedMessage &) { return std::string_view("renewed"); },
                      },
                      reply);
}

RequestId requestIdOf(const CallerReply &reply)
{
    return std::visit(Visitor{
                          [](const RenewedMessage &renewed) {
                              return RequestId{ renewed.flow, 0 };
                          },
                          [](const auto &other) { return other.id; },
                      },
                      reply);
}

} // namespace poplarroad
