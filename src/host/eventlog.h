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

/** Events of the log. */
enum class LogEvent : std::uint8_t {
    Start,
    Stop,
    Reload,
    Ready, ///< services and targets are known, the balancer can route
    Paused, ///< the event loop did not run for some time
    StoreLost, ///< calls to the store fail
    StoreRecovered,
    ListTruncated, ///< a list of the store could not be read to its end
    ListMixed, ///< the pages of a list of the store are of different age
    ListDiffers, ///< the target list differs from the follower's, which is requested
    StoreRead, ///< this balancer reads a part of the directory completely
    FollowingChanged, ///< this balancer starts to follow the store, or leaves that to another one
    ServicesChanged,
    EntryRefused, ///< an entry of the store cannot be used
    EraRefused, ///< what the store sent as its era cannot be used
    EraChanged, ///< the target list is of another era of the store
    TargetEntryChanged, ///< in the target list
    ZoneEvacuated, ///< the evacuation of a zone began or ended
    TargetCompared, ///< a target became slow, shedding or usual, compared with others
    ZoneReachabilityChanged, ///< targets of another zone can't be reached, or can again
    TargetLivenessChanged, ///< as observed from the packets of its flows
    PressureChanged, ///< admission ranks the routes of a service, or stops to
    FlowPlaced,
    FlowReset,
    PacketDropped,
    ColdTargetsOwned, ///< number of cold targets to which only this balancer opens flows; at most every 0.5 s
    TrafficSummary, ///< packet counts of a period
    LinesDropped, ///< lines were dropped by the rate limit or because the reader was too slow
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
        EnumName<LogEvent>{ LogEvent::StoreRecovered, "store-regained" },
        EnumName<LogEvent>{ LogEvent::ListTruncated, "list-truncated" },
        EnumName<LogEvent>{ LogEvent::ListMixed, "list-mixed" },
        EnumName<LogEvent>{ LogEvent::ListDiffers, "list-differs" },
        EnumName<LogEvent>{ LogEvent::StoreRead, "store-read" },
        EnumName<LogEvent>{ LogEvent::FollowingChanged, "follow-store" },
        EnumName<LogEvent>{ LogEvent::ServicesChanged, "services-in-force" },
        EnumName<LogEvent>{ LogEvent::EntryRefused, "entry-refused" },
        EnumName<LogEvent>{ LogEvent::EraRefused, "era-refused" },
        EnumName<LogEvent>{ LogEvent::EraChanged, "store-era" },
        EnumName<LogEvent>{ LogEvent::TargetEntryChanged, "target-listed" },
        EnumName<LogEvent>{ LogEvent::ZoneEvacuated, "zone-evacuated" },
        EnumName<LogEvent>{ LogEvent::TargetCompared, "target-compared" },
        EnumName<LogEvent>{ LogEvent::ZoneReachabilityChanged, "zone-reachability" },
        EnumName<LogEvent>{ LogEvent::TargetLivenessChanged, "target-judged" },
        EnumName<LogEvent>{ LogEvent::PressureChanged, "admission-pressure" },
        EnumName<LogEvent>{ LogEvent::FlowPlaced, "flow-placed" },
        EnumName<LogEvent>{ LogEvent::FlowReset, "flow-reset" },
        EnumName<LogEvent>{ LogEvent::PacketDropped, "packet-dropped" },
        EnumName<LogEvent>{ LogEvent::ColdTargetsOwned, "cold-targets-owned" },
        EnumName<LogEvent>{ LogEvent::TrafficSummary, "traffic-summary" },
        EnumName<LogEvent>{ LogEvent::LinesDropped, "lines-dropped" },
    };
};

/** @return the severity of an event */
constexpr LogLevel levelOf(LogEvent event)
{
    switch (event) {
    case LogEvent::Paused:
    case LogEvent::StoreLost:
    case LogEvent::ListTruncated:
    case LogEvent::ListDiffers:
    case LogEvent::EntryRefused:
    case LogEvent::EraRefused:
    case LogEvent::LinesDropped:
        return LogLevel::Warning;
    default:
        return LogLevel::Info;
    }
}

/** A named value of a log line. */
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, bool> value;
};

/** Destination of log lines; an interface, so that tests can collect them. */
class LogSink
{
public:
    virtual ~LogSink() = default;
    /** Never blocks. @return whether the line was written */
    virtual bool write(std::string_view line) = 0;
};

/** Writes lines to standard output; drops them instead of blocking when the pipe is full. */
class StandardOutputSink final : public LogSink
{
public:
    StandardOutputSink();
    bool write(std::string_view line) override;
};

/**
 * The log of one task: one JSON object per line with the wall-clock time, the event and its fields.
 *
 * Each event type has its own rate limit, a token bucket, so that a flood of one does not fill the log. Dropped lines
 * are counted and reported.
 */
class EventLog
{
public:
    /** Lines of one event type that can be written at once; about 200 bytes each. */
    static constexpr double BurstLines = 100.0;
    /** Sustained rate of one event type. */
    static constexpr double LinesPerSecond = 20.0;

    /** @param minLevel events below this level are not written */
    explicit EventLog(LogSink &sink, LogLevel minLevel = LogLevel::Debug)
        : sink_(sink)
        , minLevel_(minLevel)
    {
    }

    /** Writes a line unless the level of the event is too low or its rate limit is exceeded. */
    void write(LogEvent event, TimePoint now, std::initializer_list<LogField> fields);
    /** @return number of lines dropped by the rate limit or the sink */
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    /** Token bucket of one event type. */
    struct Budget
    {
        double lines = BurstLines;
        TimePoint updatedAt;
    };

    /** @return whether the rate limit allows another line of the event */
    bool consumeBudget(LogEvent event, TimePoint now);
    /** @return whether the sink accepted the line */
    bool writeLine(LogEvent event, std::initializer_list<LogField> fields);

    LogSink &sink_;
    LogLevel minLevel_;
    std::array<Budget, EnumNames<LogEvent>::table.size()> budgets_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDrops_ = 0; ///< value of dropped_ in the last LinesDropped event
    std::string line_; ///< a member to keep its capacity
};

} // namespace poplarroad

#endif
