#include "host/eventlog.h"

#include "poplarroad/visitor.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace poplarroad
{

namespace
{

std::int64_t wallClockMs()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

void appendText(std::string &line, std::string_view text)
{
    line += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        constexpr unsigned char firstPrintable = 0x20;
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += byte < firstPrintable ? '?' : character;
    }
    line += '"';
}

} // namespace

StandardOutputSink::StandardOutputSink()
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bool StandardOutputSink::write(std::string_view line)
{
    // Lines are shorter than PIPE_BUF, so that a pipe accepts each one completely or not at all.
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void EventLog::write(LogEvent event, TimePoint now, std::initializer_list<LogField> fields)
{
    if (levelOf(event) < minLevel_) {
        return;
    }
    if (!consumeBudget(event, now)) {
        ++dropped_;
        return;
    }
    if (dropped_ > reportedDrops_
        && writeLine(LogEvent::LinesDropped, { { "lines", static_cast<std::int64_t>(dropped_) } })) {
        reportedDrops_ = dropped_;
    }
    if (!writeLine(event, fields)) {
        ++dropped_;
    }
}

bool EventLog::consumeBudget(LogEvent event, TimePoint now)
{
    Budget &budget = budgets_[static_cast<std::size_t>(event)];
    const double seconds = std::chrono::duration<double>(now - budget.updatedAt).count();
    budget.lines = std::min(BurstLines, budget.lines + seconds * LinesPerSecond);
    budget.updatedAt = now;
    if (budget.lines < 1.0) {
        return false;
    }
    budget.lines -= 1.0;
    return true;
}

bool EventLog::writeLine(LogEvent event, std::initializer_list<LogField> fields)
{
    line_ = R"({"time_ms":)";
    line_ += std::to_string(wallClockMs());
    line_ += R"(,"event":)";
    appendText(line_, nameOf(event));
    for (const LogField &field : fields) {
        line_ += ',';
        appendText(line_, field.name);
        line_ += ':';
        std::visit(Visitor{
                       [&](std::string_view text) { appendText(line_, text); },
                       [&](std::int64_t number) { line_ += std::to_string(number); },
                       [&](bool flag) { line_ += flag ? "true" : "false"; },
                   },
                   field.value);
    }
    line_ += "}\n";
    return sink_.write(line_);
}

} // namespace poplarroad
