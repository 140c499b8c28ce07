#ifndef POPLARROAD_HOST_STOPSIGNALS_H
#define POPLARROAD_HOST_STOPSIGNALS_H

#include <csignal>
#include <functional>

namespace poplarroad
{

/** Blocks the signals that stop a daemon or make it reload, before any thread starts, so that only waitForStop() takes them. */
sigset_t blockStopSignals();
/**
 * Waits for one of the signals.
 *
 * @param reload called for each request to read the settings again
 */
void waitForStop(const sigset_t &signals, const std::function<void()> &reload = {});

} // namespace poplarroad

#endif
