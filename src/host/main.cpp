#include "host/daemon.h"
#include "host/flagnames.h"
#include "host/stopsignals.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "INI file with the daemon's settings");
ABSL_FLAG(bool, check_config, false, "check the settings and exit");

namespace
{

log4cxx::LevelPtr log4cxxLevel(poplarroad::LogLevel level)
{
    switch (level) {
    case poplarroad::LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case poplarroad::LogLevel::Info:
        return log4cxx::Level::getInfo();
    case poplarroad::LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case poplarroad::LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

} // namespace

int main(int argc, char **argv)
{
    poplarroad::normalizeFlagNames(argc, argv);
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
    log4cxx::BasicConfigurator::configure();
    log4cxx::Logger::getRootLogger()->setLevel(log4cxxLevel(settings->logLevel));
    const sigset_t signals = poplarroad::blockStopSignals();
    poplarroad::Daemon daemon(*settings);
    if (!daemon.start()) {
        return 1;
    }
    poplarroad::waitForStop(signals);
    daemon.leave();
    return 0;
}
