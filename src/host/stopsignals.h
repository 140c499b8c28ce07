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

/** Blocks the signals that stop a daemon or make it reload, before any thread starts, so that only waitForStop() takes them. */
sigset_t blockStopSignals();
/** Tells whether a file was replaced or written since the last look. */
class FileWatch
{
public:
    explicit FileWatch(std::string path);
    /** @return whether the file differs from the one of the last call; false while it is not there */
    bool changed();

private:
    /** What identifies the contents of a file without reading it. */
    struct Stamp
    {
        std::uint64_t inode = 0;
        std::int64_t size = 0;
        std::int64_t modifiedNs = 0;

        friend bool operator==(const Stamp &, const Stamp &) = default;
    };

    std::optional<Stamp> look() const;

    std::string path_;
    std::optional<Stamp> seen_;
};

/** Waits for one of the signals that stop a daemon. */
void waitForStop(const sigset_t &signals);
/**
 * Waits for one of the signals that stop a daemon, and meanwhile for changes of its settings.
 *
 * @param settings the settings file, which may change without a signal; it is looked at every SettingsLookPeriod
 * @param reload called after SIGHUP or a change of the file
 */
void waitForStop(const sigset_t &signals, FileWatch settings, const std::function<void()> &reload);

/** A change of the settings is noticed within this; the systems that balancers run on may lack inotify. */
inline constexpr std::chrono::seconds SettingsLookPeriod{ 2 };

} // namespace poplarroad

#endif
