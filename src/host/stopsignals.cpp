#include "host/stopsignals.h"

#include <sys/stat.h>

#include <utility>

namespace poplarroad
{

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

FileWatch::FileWatch(std::string path)
    : path_(std::move(path))
    , lastStamp_(readStamp())
{
}

std::optional<FileWatch::Stamp> FileWatch::readStamp() const
{
    struct stat status
    {
    };
    if (stat(path_.c_str(), &status) != 0) {
        return std::nullopt;
    }
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    return Stamp{ status.st_ino, status.st_size,
                  status.st_mtim.tv_sec * nanosecondsPerSecond + status.st_mtim.tv_nsec };
}

bool FileWatch::changed()
{
    const auto now = readStamp();
    if (!now || now == lastStamp_) {
        return false;
    }
    lastStamp_ = now;
    return true;
}

void waitForStop(const sigset_t &signals)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) { }
}

void waitForStop(const sigset_t &signals, FileWatch settings, const std::function<void()> &reload)
{
    constexpr timespec period{ SettingsPollPeriod.count(), 0 };
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &period);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        if (settings.changed() || signal == SIGHUP) {
            reload();
        }
    }
}

} // namespace poplarroad
