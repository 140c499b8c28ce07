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

/** One hop of a request, in the data model of OpenTelemetry. */
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

/** Writes spans to a file, so that no other task waits for the disk. */
class TraceTask
{
public:
    explicit TraceTask(const std::string &path);
    void start();
    void post(TraceTaskMessage message);
    void join();

private:
    EventLoop loop_;
    Mailbox<TraceTaskMessage> mailbox_;
    std::ofstream file_;
    TaskThread thread_;
};

/** Opens and ends the spans of one task. Only that task uses it. */
class Tracer
{
public:
    using Post = std::function<void(Span)>;

    /**
     * @param sample part of the traces that is recorded, 0 to 1; all hosts decide alike from the trace's number
     * @param post takes an ended span; empty when nothing is traced
     */
    Tracer(double sample, Post post);
    /** Opens a span and makes it the parent of what follows in the trace. */
    void begin(const RequestId &id, TraceContext &trace, std::string_view name);
    /** Ends the span of the request; nothing happens when none is open. */
    void end(const RequestId &id, std::string_view outcome);

private:
    /** Open spans; a request that never ends must not take memory for ever. */
    static constexpr std::size_t MaxOpenSpans = 65536;

    bool sampled(const TraceContext &trace) const;

    double sampleRatio_;
    Post post_;
    std::mt19937_64 spanIds_;
    absl::flat_hash_map<RequestId, Span> openSpans_;
};

/** @return the outcome of a reply as a span's attribute */
std::string_view outcomeOf(const CallerReply &reply);
/** @return the request's id; a renewal has sequence 0 */
RequestId requestIdOf(const CallerReply &reply);

} // namespace poplarroad

#endif
