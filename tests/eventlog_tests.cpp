#include "host/eventlog.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <vector>

using namespace poplarroad;

namespace
{

constexpr TimePoint start{ std::chrono::seconds(1000) };

/** Keeps the lines, or refuses them like a full pipe. */
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

TEST_CASE("a line is one JSON object with its event and values, whatever a name holds")
{
    FakeSink sink;
    EventLog log(sink);
    log.write(LogEvent::TargetListed, start,
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

TEST_CASE("a flood of one event leaves the lines of others alone and is told as dropped")
{
    FakeSink sink;
    EventLog log(sink);
    for (int i = 0; i < 10000; ++i) {
        log.write(LogEvent::PacketDropped, start, {});
    }
    CHECK(sink.lines.size() == static_cast<std::size_t>(EventLog::Burst));
    CHECK(log.dropped() == 10000 - static_cast<std::uint64_t>(EventLog::Burst));
    log.write(LogEvent::Stop, start, {});
    const auto told = nlohmann::json::parse(sink.lines[sink.lines.size() - 2]);
    CHECK(told.at("event") == "lines-dropped");
    CHECK(told.at("lines") == 9900);
    CHECK(nlohmann::json::parse(sink.lines.back()).at("event") == "stop");
}

TEST_CASE("over ten seconds of a flood the lines stay within the budget")
{
    FakeSink sink;
    EventLog log(sink);
    for (int millisecond = 0; millisecond < 10000; ++millisecond) {
        log.write(LogEvent::FlowReset, start + Milliseconds(millisecond), {});
    }
    CHECK(sink.lines.size() <= static_cast<std::size_t>(2 * (EventLog::Burst + 10 * EventLog::LinesPerSecond)));
}

TEST_CASE("a reader that does not read costs lines, which are counted")
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

TEST_CASE("a level that an operator sets leaves the lines of other levels out, without counting them as dropped")
{
    FakeSink sink;
    EventLog log(sink, LogLevel::Warning);
    log.write(LogEvent::FlowReset, start, {});
    log.write(LogEvent::StoreLost, start, {});
    REQUIRE(sink.lines.size() == 1);
    CHECK(nlohmann::json::parse(sink.lines.front()).at("event") == "store-lost");
    CHECK(log.dropped() == 0);
}
