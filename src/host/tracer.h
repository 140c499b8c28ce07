#ifndef POPLARROAD_HOST_TRACER_H
#define POPLARROAD_HOST_TRACER_H

#include "mailbox.h"
#include "poplarroad/request.h"
#include "taskmessages.h"
#include "taskthread.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace poplarroad
{

/** OpenTelemetry span of one hop of a request. */
struct Span
{
    TraceContext trace; ///< parentSpan is the parent of this span
    std::uint64_t spanId = 0;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/** @return the span as one line of JSON */
std::string toJsonLine(const Span &span);

using TraceTaskMessage = std::variant<Span, StopTask>;

/** Task that appends spans to a file, so that no other task waits for the disk. */
class TraceTask
{
public:
    /** @param path of the file, with one JSON object per line */
    explicit TraceTask(const std::string &path);
    void start();
    /** Posts a message. Thread-safe. */
    void post(TraceTaskMessage message);
    void join();

private:
    EventLoop loop_;
    Mailbox<TraceTaskMessage> mailbox_;
    std::ofstream file_;
    TaskThread thread_;
};

/** Begins and ends the spans of one task. Not thread-safe. */
class Tracer
{
public:
    using Post = std::function<void(Span)>;

    /**
     * @param sampleRatio fraction of traces to record, 0 to 1; the trace id decides, so that all hosts record the same
     *     traces
     * @param post receives each ended span; empty to disable tracing
     */
    Tracer(double sampleRatio, Post post);
    /** Begins a span and makes it the parent of the next span in the trace. */
    void begin(const RequestId &id, TraceContext &trace, std::string_view name);
    /** Ends the span of the request, if one is open. */
    void end(const RequestId &id, std::string_view outcome);

private:
    /** Maximum number of open spans, which limits the memory for requests that never end; further ones are dropped. */
    static constexpr std::size_t MaxOpenSpans = 65536;

    bool sampled(const TraceContext &trace) const;

    double sampleRatio_;
    Post post_;
    std::mt19937_64 spanIds_;
    absl::flat_hash_map<RequestId, Span> openSpans_;
};

/** @return the outcome of a reply, as a span attribute */
std::string_view outcomeOf(const CallerReply &reply);
/** @return the id of the request; the sequence of a renewal is 0 */
RequestId requestIdOf(const CallerReply &reply);

} // namespace poplarroad

#endif
