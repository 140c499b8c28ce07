#include "host/daemon.h"
#include "host/daemonmain.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "INI file with the daemon's settings");
ABSL_FLAG(bool, check_config, false, "check the settings and exit");

int main(int argc, char **argv)
{
    poplarroad::acceptDashes(argc, argv);
    absl::SetProgramUsageMessage("Layer-4 load balancer: poplarroadd --settings=FILE [--check-config]");
    absl::ParseCommandLine(argc, argv);
    poplarroad::SettingsLoader loader;
    const auto settings = loader.load(absl::GetFlag(FLAGS_settings));
    if (!settings) {
        std::cerr << loader.lastDetail() << '\n';
        return 2;
    }
    if (absl::GetFlag(FLAGS_check_config)) {
        std::cout << absl::GetFlag(FLAGS_settings) << ": ok\n";
        return 0;
    }
    poplarroad::startLogging(settings->logLevel);
    const sigset_t signals = poplarroad::blockStopSignals();
    poplarroad::Daemon daemon(*settings);
    if (!daemon.start()) {
        return 1;
    }
    poplarroad::waitForStop(signals);
    daemon.leave();
    return 0;
}
