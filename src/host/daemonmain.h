#ifndef POPLARROAD_HOST_DAEMONMAIN_H
#define POPLARROAD_HOST_DAEMONMAIN_H

#include "flagnames.h"
#include "settings.h"

#include <csignal>

namespace poplarroad
{

/** Sends log lines of the level and above to standard output. */
void startLogging(LogLevel level);
/** Blocks the signals that stop a daemon, before any thread starts, so that only waitForStop() takes them. */
sigset_t blockStopSignals();
/** Waits for one of the signals. */
void waitForStop(const sigset_t &signals);

} // namespace poplarroad

#endif
