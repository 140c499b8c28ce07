#ifndef POPLARROAD_HOST_STOPSIGNALS_H
#define POPLARROAD_HOST_STOPSIGNALS_H

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace poplarroad
{

/**
 * Blocks SIGTERM, SIGINT and SIGHUP, so that only waitForStop() receives them, and ignores SIGPIPE. Must be called before
 * any thread starts.
 *
 * @return the blocked signals
 */
sigset_t blockStopSignals();

/** Detects that a file was replaced or written, by polling. */
class FileWatch
{
public:
    explicit FileWatch(std::string path);
    /** @return whether the file changed since the last call; false while it does not exist */
    bool changed();

private:
    /** Metadata that shows a change of a file without reading it. */
    struct Stamp
    {
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        std::int64_t modifiedNs = 0;

        friend bool operator==(const Stamp &, const Stamp &) = default;
    };

    /** @return the metadata of the file, or std::nullopt if it does not exist */
    std::optional<Stamp> readStamp() const;

    std::string path_;
    std::optional<Stamp> lastStamp_;
};

/** Waits for SIGTERM or SIGINT; ignores SIGHUP. */
void waitForStop(const sigset_t &signals);
/**
 * Waits for SIGTERM or SIGINT, and reloads the settings when they change.
 *
 * @param settings the settings file, which is polled every SettingsPollPeriod, since it may change without a signal
 * @param reload called after SIGHUP or a change of the file
 */
void waitForStop(const sigset_t &signals, FileWatch settings, const std::function<void()> &reload);

/** Interval at which the settings file is checked. Polled because inotify is not available everywhere. */
inline constexpr std::chrono::seconds SettingsPollPeriod{ 2 };

} // namespace poplarroad

#endif
