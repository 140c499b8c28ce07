#ifndef POPLARROAD_HOST_EVENTLOG_H
#define POPLARROAD_HOST_EVENTLOG_H

#include "host/settings.h"
#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace poplarroad
{

/** What a process writes a line about. */
enum class LogEvent : std::uint8_t {
    Start,
    Stop,
    Reload,
    Ready, ///< services and targets are known
    Paused, ///< the process stood still
    StoreLost, ///< calls to the store fail
    StoreRegained,
    FollowStore, ///< this balancer follows the store, or leaves that to another one
    ServicesInForce,
    TargetListed, ///< the list says something new of a target
    TargetJudged, ///< the packets of its flows say something new of a target
    FlowPlaced,
    FlowReset,
    PacketDropped,
    TrafficSummary, ///< counts of a period
    LinesDropped, ///< lines that the budget or the reader of the log did not take
};

template<>
struct EnumNames<LogEvent>
{
    static constexpr std::array table{
        EnumName<LogEvent>{ LogEvent::Start, "start" },
        EnumName<LogEvent>{ LogEvent::Stop, "stop" },
        EnumName<LogEvent>{ LogEvent::Reload, "reload" },
        EnumName<LogEvent>{ LogEvent::Ready, "ready" },
        EnumName<LogEvent>{ LogEvent::Paused, "paused" },
        EnumName<LogEvent>{ LogEvent::StoreLost, "store-lost" },
        EnumName<LogEvent>{ LogEvent::StoreRegained, "store-regained" },
        EnumName<LogEvent>{ LogEvent::FollowStore, "follow-store" },
        EnumName<LogEvent>{ LogEvent::ServicesInForce, "services-in-force" },
        EnumName<LogEvent>{ LogEvent::TargetListed, "target-listed" },
        EnumName<LogEvent>{ LogEvent::TargetJudged, "target-judged" },
        EnumName<LogEvent>{ LogEvent::FlowPlaced, "flow-placed" },
        EnumName<LogEvent>{ LogEvent::FlowReset, "flow-reset" },
        EnumName<LogEvent>{ LogEvent::PacketDropped, "packet-dropped" },
        EnumName<LogEvent>{ LogEvent::TrafficSummary, "traffic-summary" },
        EnumName<LogEvent>{ LogEvent::LinesDropped, "lines-dropped" },
    };
};

/** @return how much an event matters to an operator */
constexpr LogLevel levelOf(LogEvent event)
{
    switch (event) {
    case LogEvent::Paused:
    case LogEvent::StoreLost:
    case LogEvent::LinesDropped:
        return LogLevel::Warning;
    default:
        return LogLevel::Info;
    }
}

/** One named value of a line. */
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, bool> value;
};

/** Where lines go. */
class LogSink
{
public:
    virtual ~LogSink() = default;
    /** @return whether the line was taken; never blocks */
    virtual bool write(std::string_view line) = 0;
};

/** Writes lines to standard output; a full pipe costs the line, not the writer. */
class StandardOutput final : public LogSink
{
public:
    StandardOutput();
    bool write(std::string_view line) override;
};

/**
 * The log of one task: a JSON object a line, with the wall-clock time, the event and what decided it.
 *
 * Each event has a budget of lines, so that a flood cannot fill the log; lines that were left out are counted and told.
 */
class EventLog
{
public:
    /** Lines of one event that come at once, and how many more a second; about 200 bytes each. */
    static constexpr double Burst = 100.0;
    static constexpr double LinesPerSecond = 20.0;

    /** @param least lines of events below it are left out */
    explicit EventLog(LogSink &sink, LogLevel least = LogLevel::Debug)
        : sink_(sink)
        , least_(least)
    {
    }

    /** Writes a line unless its level is too low or the event has used up its budget. */
    void write(LogEvent event, TimePoint now, std::initializer_list<LogField> fields);
    /** @return lines that were left out */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct Budget
    {
        double lines = Burst;
        TimePoint at;
    };

    bool take(LogEvent event, TimePoint now);
    bool emit(LogEvent event, std::initializer_list<LogField> fields);

    LogSink &sink_;
    LogLevel least_;
    std::array<Budget, EnumNames<LogEvent>::table.size()> budgets_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t told_ = 0; ///< of the dropped lines, those that a line has told
    std::string line_; ///< keeps its capacity
};

} // namespace poplarroad

#endif
