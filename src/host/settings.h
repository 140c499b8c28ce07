#ifndef POPLARROAD_HOST_SETTINGS_H
#define POPLARROAD_HOST_SETTINGS_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"
#include "poplarroad/tokencodec.h"

#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Which log lines are written. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

template<>
struct EnumNames<LogLevel>
{
    static constexpr std::array table{
        EnumName<LogLevel>{ LogLevel::Debug, "debug" },
        EnumName<LogLevel>{ LogLevel::Info, "info" },
        EnumName<LogLevel>{ LogLevel::Warning, "warning" },
        EnumName<LogLevel>{ LogLevel::Error, "error" },
    };
};

/** What callers speak to a daemon. */
enum class Frontend : std::uint8_t {
    Requests, ///< requests in Cap'n Proto
    Packets, ///< packets of flows that only callers and targets can read
};

template<>
struct EnumNames<Frontend>
{
    static constexpr std::array table{
        EnumName<Frontend>{ Frontend::Requests, "requests" },
        EnumName<Frontend>{ Frontend::Packets, "packets" },
    };
};

/** Settings of one daemon, all of them checked. */
struct Settings
{
    Frontend frontend = Frontend::Requests;
    std::string zone;
    HostAddress callers; ///< UDP and TCP; packets: UDP only
    HostAddress peers; ///< UDP and TCP
    HostAddress operators; ///< Cap'n Proto RPC
    HostAddress metrics; ///< HTTP
    HostAddress platform; ///< object API
    std::vector<HostAddress> seeds;
    std::vector<Key> keys; ///< the first one signs
    std::string traceFile; ///< empty: no traces
    double traceSample = 0.01; ///< part of the traces that is written
    LogLevel logLevel = LogLevel::Info;
    Milliseconds leaveTimeout{ 30000 }; ///< for requests in progress at a graceful stop
    Milliseconds connectTimeout{ 1000 }; ///< to targets and balancers
    double processorShare = 1.0; ///< packets: cores of this host; larger hosts do more for the others
    double linkMbps = 1000.0; ///< packets: bandwidth of this host's link
    std::string readinessPath; ///< packets: answered with 200 at the metrics address while the daemon takes new work
    Milliseconds drainTime{ 2500 }; ///< packets: from the stop signal to the end
};

/** Why settings were refused. */
enum class SettingsError : std::uint8_t {
    CannotRead,
    Syntax,
    UnknownSection,
    UnknownKey,
    RepeatedKey,
    InvalidValue,
    MissingKey,
};

template<>
struct EnumNames<SettingsError>
{
    static constexpr std::array table{
        EnumName<SettingsError>{ SettingsError::CannotRead, "cannot-read" },
        EnumName<SettingsError>{ SettingsError::Syntax, "syntax" },
        EnumName<SettingsError>{ SettingsError::UnknownSection, "unknown-section" },
        EnumName<SettingsError>{ SettingsError::UnknownKey, "unknown-key" },
        EnumName<SettingsError>{ SettingsError::RepeatedKey, "repeated-key" },
        EnumName<SettingsError>{ SettingsError::InvalidValue, "invalid-value" },
        EnumName<SettingsError>{ SettingsError::MissingKey, "missing-key" },
    };
};

/** Reads and checks a settings file. */
class SettingsLoader
{
public:
    /** @return the settings, or nothing; lastError() and lastDetail() tell why */
    std::optional<Settings> load(const std::string &path);
    std::optional<SettingsError> lastError() const
    {
        return lastError_;
    }
    /** @return file, section, key, refused value and what is accepted */
    const std::string &lastDetail() const
    {
        return lastDetail_;
    }

private:
    static int onValue(void *self, const char *section, const char *key, const char *value);
    bool take(const std::string &section, const std::string &key, const std::string &value);
    bool refuse(SettingsError error, const std::string &detail);
    bool complete();

    std::string path_;
    Settings settings_;
    std::vector<std::string> seen_; ///< "section.key"
    std::optional<SettingsError> lastError_;
    std::string lastDetail_;
};

} // namespace poplarroad

#endif
