#ifndef POPLARROAD_HOST_SETTINGS_H
#define POPLARROAD_HOST_SETTINGS_H

#include "contract/admissionpolicy.h"
#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/host.h"
#include "poplarroad/tokencodec.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarroad
{

/** Severity of a log line. */
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

/** Protocol that callers use. */
enum class Frontend : std::uint8_t {
    Requests, ///< requests in Cap'n Proto
    Packets, ///< packets of flows, whose payload only callers and targets understand
};

template<>
struct EnumNames<Frontend>
{
    static constexpr std::array table{
        EnumName<Frontend>{ Frontend::Requests, "requests" },
        EnumName<Frontend>{ Frontend::Packets, "packets" },
    };
};

/** Validated settings of one daemon. "packets:" marks those that apply to Frontend::Packets only. */
struct Settings
{
    Frontend frontend = Frontend::Requests;
    std::string zone;
    HostAddress callers; ///< local address for callers, UDP and TCP; Frontend::Packets: UDP only
    HostAddress peers; ///< local address for other balancers, UDP and TCP
    HostAddress operators; ///< local address for operators, Cap'n Proto RPC
    HostAddress metrics; ///< local address of the metrics, HTTP
    HostAddress platform; ///< remote address of the platform's object API
    std::vector<HostAddress> seeds;
    std::vector<Key> keys; ///< the first one is used to sign
    std::string traceFile; ///< no traces if empty
    double traceSample = 0.01; ///< fraction of the traces that are written
    LogLevel logLevel = LogLevel::Info;
    Milliseconds leaveTimeout{ 30000 }; ///< longest graceful shutdown, for requests in progress
    Milliseconds connectTimeout{ 1000 }; ///< to targets and balancers
    /** packets: cores of this host; hosts with more are preferred for following the store */
    double processorShare = 1.0;
    double linkMbps = 1000.0; ///< packets: bandwidth of this host's link, in Mbit/s
    std::string readinessPath; ///< packets: returns 200 at the metrics address while the daemon accepts new work
    Milliseconds drainTime{ 2500 }; ///< packets: from the stop signal to the exit
    /** packets: time in which an evacuation of a zone has to be in force; nothing if evacuations are not used */
    std::optional<Milliseconds> evacuationTime;
    std::vector<std::string> zoneNames; ///< packets: zones that can be evacuated; any name is accepted if empty
    /**
     * packets: a target that warms up accepts in each second at most the flows that its service declares times the
     * overage, plus the slack; unlimited unless both are set.
     */
    std::optional<double> warmupOverage;
    std::optional<double> warmupSlack; ///< packets: new flows in a second
    /** packets: which admission new flows get; ranking applies to services whose routes differ in urgency */
    AdmissionPolicy admission = AdmissionPolicy::LatencyGoal;
    bool compareTargets = false; ///< packets: detect slow and shedding targets and unreachable zones by comparison

    /** @return see HostRecord::rank */
    std::uint16_t rank() const
    {
        constexpr double stepsPerCore = 1000.0;
        return static_cast<std::uint16_t>(std::min<double>(processorShare * stepsPerCore, UINT16_MAX));
    }
};

/** Why settings were rejected. */
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

/** Reads and validates a settings file. */
class SettingsLoader
{
public:
    /** @return the settings, or std::nullopt on an error; see lastError() and lastDetail() */
    std::optional<Settings> load(const std::string &path);
    std::optional<SettingsError> lastError() const
    {
        return lastError_;
    }
    /** @return the error message: file, section, key, invalid value and what is expected */
    const std::string &lastDetail() const
    {
        return lastDetail_;
    }

private:
    static int onValue(void *self, const char *section, const char *key, const char *value);
    /** Handles one key of the file. @return whether it is valid */
    bool setValue(const std::string &section, const std::string &key, const std::string &value);
    /** Sets lastError() and lastDetail(). @return false */
    bool fail(SettingsError error, const std::string &detail);
    /** Checks that all required keys are present, and puts the signing key first. @return whether they are */
    bool validate();

    std::string path_;
    Settings settings_;
    std::vector<std::string> seenKeys_; ///< "section.key"
    std::optional<SettingsError> lastError_;
    std::string lastDetail_;
};

} // namespace poplarroad

#endif
