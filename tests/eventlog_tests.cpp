#include "host/eventlog.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <vector>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };

/** Stores the lines, or rejects them like a full pipe. */
class FakeSink final : public LogSink
{
public:
    bool write(std::string_view line) override
    {
        if (full) {
            return false;
        }
        lines.emplace_back(line);
        return true;
    }

    bool full = false;
    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("a line is one JSON object with the event and its fields, and special characters in values are escaped")
{
    FakeSink sink;
    EventLog log(sink);
    log.write(LogEvent::TargetEntryChanged, start,
              { { "name", "a\"b\\c\n" }, { "target", std::int64_t{ 7 } }, { "ready", true } });
    REQUIRE(sink.lines.size() == 1);
    CHECK(sink.lines.front().back() == '\n');
    const auto object = nlohmann::json::parse(sink.lines.front());
    CHECK(object.at("event") == "target-listed");
    CHECK(object.at("name") == "a\"b\\c?");
    CHECK(object.at("target") == 7);
    CHECK(object.at("ready") == true);
    CHECK(object.at("time_ms").is_number_integer());
}

TEST_CASE("a flood of one event does not suppress other events, and its dropped lines are reported")
{
    FakeSink sink;
    EventLog log(sink);
    for (int i = 0; i < 10000; ++i) {
        log.write(LogEvent::PacketDropped, start, {});
    }
    CHECK(sink.lines.size() == static_cast<std::size_t>(EventLog::BurstLines));
    CHECK(log.dropped() == 10000 - static_cast<std::uint64_t>(EventLog::BurstLines));
    log.write(LogEvent::Stop, start, {});
    const auto reported = nlohmann::json::parse(sink.lines[sink.lines.size() - 2]);
    CHECK(reported.at("event") == "lines-dropped");
    CHECK(reported.at("lines") == 9900);
    CHECK(nlohmann::json::parse(sink.lines.back()).at("event") == "stop");
}

TEST_CASE("the lines written during a flood of ten seconds stay within the rate limit")
{
    FakeSink sink;
    EventLog log(sink);
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        log.write(LogEvent::FlowReset, start + Milliseconds(millisecond), {});
    }
    // A report of dropped lines can precede each line, hence the factor of 2.
    CHECK(sink.lines.size() <= static_cast<std::size_t>(2 * (EventLog::BurstLines + 10 * EventLog::LinesPerSecond)));
}

TEST_CASE("lines that the sink rejects are counted and reported")
{
    FakeSink sink;
    EventLog log(sink);
    sink.full = true;
    log.write(LogEvent::Ready, start, {});
    CHECK(log.dropped() == 1);
    sink.full = false;
    log.write(LogEvent::Ready, start, {});
    CHECK(sink.lines.size() == 2);
}

TEST_CASE("events below the configured level are not written and not counted as dropped")
{
    FakeSink sink;
    EventLog log(sink, LogLevel::Warning);
    log.write(LogEvent::FlowReset, start, {});
    log.write(LogEvent::StoreLost, start, {});
    REQUIRE(sink.lines.size() == 1);
    CHECK(nlohmann::json::parse(sink.lines.front()).at("event") == "store-lost");
    CHECK(log.dropped() == 0);
}
