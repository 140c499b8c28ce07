#include "host/settings.h"

#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace poplarroad
{

namespace
{

using Parser = bool (*)(Settings &, const std::string &value);

/** When a key is required. */
enum class Requirement : std::uint8_t {
    Optional,
    RequestFrontend, ///< required for Frontend::Requests
    Always,
};

/** A known setting, that is a key of a section of the file. */
struct SettingRow
{
    std::string_view section;
    std::string_view key;
    Requirement requirement;
    Parser parse; ///< returns whether the value is valid
    std::string_view expected; ///< description of valid values, for error messages
};

bool parseAddress(HostAddress &to, const std::string &value)
{
    const auto address = parseHostAddress(value);
    to = address.value_or(HostAddress{});
    return address && address->port != 0;
}

bool parseMilliseconds(Milliseconds &to, const std::string &value, std::int64_t largest)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
    to = Milliseconds(count);
    return error == std::errc() && end == value.data() + value.size() && count > 0 && count <= largest;
}

bool parseNumber(double &to, const std::string &value, double largest)
{
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), to);
    return error == std::errc() && end == value.data() + value.size() && to >= 0.0 && to <= largest;
}

bool parseSeeds(Settings &settings, const std::string &value)
{
    std::string_view rest = value;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        std::string_view item = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
        item = item.substr(0, item.find_last_not_of(' ') + 1);
        const auto address = parseHostAddress(item);
        if (!address || address->port == 0) {
            return false;
        }
        settings.seeds.push_back(*address);
    }
    return true;
}

bool parseZoneNames(Settings &settings, const std::string &value)
{
    std::string_view rest = value;
    while (!rest.empty()) {
        const auto comma = std::min(rest.find(','), rest.size());
        std::string_view name = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        name.remove_prefix(std::min(name.find_first_not_of(' '), name.size()));
        name = name.substr(0, name.find_last_not_of(' ') + 1);
        if (name.empty()) {
            return false;
        }
        settings.zoneNames.emplace_back(name);
    }
    return !settings.zoneNames.empty();
}

std::optional<std::uint8_t> parseByte(std::string_view text, int base)
{
    std::uint8_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** Parses "id:hex", decimal id and hexadecimal key. @return whether it is valid and no other key has the id */
bool parseKey(Settings &settings, const std::string &value)
{
    const auto colon = std::min(value.find(':'), value.size());
    const auto id = parseByte(std::string_view(value).substr(0, colon), 10);
    Key key;
    if (!id || value.size() != colon + 1 + 2 * key.bytes.size()) {
        return false;
    }
    key.id = *id;
    for (std::size_t i = 0; i < key.bytes.size(); ++i) {
        const auto byte = parseByte(std::string_view(value).substr(colon + 1 + 2 * i, 2), 16);
        if (!byte) {
            return false;
        }
        key.bytes[i] = *byte;
    }
    const bool duplicate =
        std::any_of(settings.keys.begin(), settings.keys.end(), [&](const Key &other) { return other.id == key.id; });
    settings.keys.push_back(key);
    return !duplicate;
}

/** Derives a key from a text, for deployments that cannot distribute a secret to the balancers. */
bool parseDerivedKey(Settings &settings, const std::string &value)
{
    Key key;
    const Mac first = computeMac(key, value);
    std::copy(first.begin(), first.end(), key.bytes.begin());
    // Computed with the first half as the key, so that the halves differ.
    const Mac second = computeMac(key, value);
    static_assert(first.size() + second.size() == sizeof(key.bytes));
    std::copy(second.begin(), second.end(), key.bytes.begin() + first.size());
    settings.keys.push_back(key);
    return !value.empty();
}

template<HostAddress Settings::*Member>
bool parseAddressInto(Settings &settings, const std::string &value)
{
    return parseAddress(settings.*Member, value);
}

constexpr std::string_view AddressFormat = "an IPv4 address and a port other than 0, as a.b.c.d:port";
constexpr std::string_view KeyFormat =
    "a number from 0 to 255 that no other key has, a colon, and 64 hexadecimal digits";

constexpr std::array SettingRows{
    SettingRow{ "host", "frontend", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    const auto frontend = enumFrom<Frontend>(value);
                    settings.frontend = frontend.value_or(Frontend::Requests);
                    return frontend.has_value();
                },
                "requests or packets" },
    SettingRow{ "host", "zone", Requirement::Always,
                [](Settings &settings, const std::string &value) {
                    settings.zone = value;
                    return !value.empty();
                },
                "the name of an availability zone" },
    SettingRow{ "host", "callers", Requirement::Always, parseAddressInto<&Settings::callers>, AddressFormat },
    SettingRow{ "host", "peers", Requirement::Always, parseAddressInto<&Settings::peers>, AddressFormat },
    SettingRow{ "host", "operator", Requirement::RequestFrontend, parseAddressInto<&Settings::operators>,
                AddressFormat },
    SettingRow{ "host", "metrics", Requirement::Always, parseAddressInto<&Settings::metrics>, AddressFormat },
    SettingRow{ "host", "seeds", Requirement::Optional, parseSeeds,
                "addresses of balancers, a.b.c.d:port, with commas between them" },
    SettingRow{ "host", "leave-timeout-ms", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseMilliseconds(settings.leaveTimeout, value, 3'600'000);
                },
                "milliseconds from 1 to 3600000" },
    SettingRow{ "host", "connect-timeout-ms", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseMilliseconds(settings.connectTimeout, value, 60'000);
                },
                "milliseconds from 1 to 60000" },
    SettingRow{ "host", "readiness-path", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    settings.readinessPath = value;
                    return value.starts_with('/');
                },
                "a path that begins with /" },
    SettingRow{ "host", "processor-share", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseNumber(settings.processorShare, value, 1024.0) && settings.processorShare > 0.0;
                },
                "a number of cores above 0, at most 1024" },
    SettingRow{ "host", "link-mbps", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseNumber(settings.linkMbps, value, 1e6) && settings.linkMbps > 0.0;
                },
                "megabits a second, above 0 and at most 1000000" },
    SettingRow{ "host", "drain-time-ms", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseMilliseconds(settings.drainTime, value, 60'000);
                },
                "milliseconds from 1 to 60000" },
    SettingRow{ "zones", "evacuation-ms", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseMilliseconds(settings.evacuationTime.emplace(), value, 3'600'000);
                },
                "milliseconds from 1 to 3600000" },
    SettingRow{ "zones", "names", Requirement::Optional, parseZoneNames,
                "names of availability zones, with commas between them" },
    SettingRow{ "targets", "warmup-overage", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseNumber(settings.warmupOverage.emplace(), value, 1000.0);
                },
                "a factor from 0 to 1000" },
    SettingRow{ "targets", "warmup-slack", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    return parseNumber(settings.warmupSlack.emplace(), value, 1e6);
                },
                "new flows in a second, from 0 to 1000000" },
    SettingRow{ "targets", "admission", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    const auto policy = enumFrom<AdmissionPolicy>(value);
                    settings.admission = policy.value_or(AdmissionPolicy::LatencyGoal);
                    return policy.has_value();
                },
                "latency-goal or cost-ranked" },
    SettingRow{ "targets", "compare", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    settings.compareTargets = value == "yes";
                    return value == "yes" || value == "no";
                },
                "yes or no" },
    SettingRow{ "platform", "address", Requirement::Always, parseAddressInto<&Settings::platform>, AddressFormat },
    SettingRow{ "keys", "current", Requirement::RequestFrontend, parseKey, KeyFormat },
    SettingRow{ "keys", "next", Requirement::Optional, parseKey, KeyFormat },
    SettingRow{ "keys", "derive-from", Requirement::Optional, parseDerivedKey,
                "a text that all balancers of the fleet share" },
    SettingRow{ "keys", "previous", Requirement::Optional, parseKey, KeyFormat },
    SettingRow{ "trace", "file", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    settings.traceFile = value;
                    return !value.empty();
                },
                "a path" },
    SettingRow{
        "trace", "sample", Requirement::Optional,
        [](Settings &settings, const std::string &value) { return parseNumber(settings.traceSample, value, 1.0); },
        "a number from 0 to 1" },
    SettingRow{ "log", "level", Requirement::Optional,
                [](Settings &settings, const std::string &value) {
                    const auto level = enumFrom<LogLevel>(value);
                    settings.logLevel = level.value_or(LogLevel::Info);
                    return level.has_value();
                },
                "debug, info, warning or error" },
};

} // namespace

std::optional<Settings> SettingsLoader::load(const std::string &path)
{
    *this = SettingsLoader();
    path_ = path;
    const int result = ini_parse(path.c_str(), &SettingsLoader::onValue, this);
    if (result < 0) {
        fail(SettingsError::CannotRead, "the file cannot be read");
    } else if (result > 0 && !lastError_) {
        fail(SettingsError::Syntax, "line " + std::to_string(result) + ": expected [section] or key = value");
    }
    if (lastError_ || !validate()) {
        return std::nullopt;
    }
    return settings_;
}

int SettingsLoader::onValue(void *self, const char *section, const char *key, const char *value)
{
    auto *loader = static_cast<SettingsLoader *>(self);
    // The parser continues after an error; only the first one is reported.
    return !loader->lastError_ && loader->setValue(section, key, value) ? 1 : 0;
}

bool SettingsLoader::setValue(const std::string &section, const std::string &key, const std::string &value)
{
    const auto isInSection = [&](const SettingRow &row) { return row.section == section; };
    if (std::none_of(SettingRows.begin(), SettingRows.end(), isInSection)) {
        return fail(SettingsError::UnknownSection,
                    "section [" + section
                        + "] is unknown: expected host, zones, targets, platform, keys, trace or log");
    }
    const auto row = std::find_if(SettingRows.begin(), SettingRows.end(),
                                  [&](const SettingRow &known) { return isInSection(known) && known.key == key; });
    const std::string name = "section [" + section + "], key '" + key + "'";
    if (row == SettingRows.end()) {
        std::string expected;
        for (const SettingRow &known : SettingRows) {
            expected += isInSection(known) ? " " + std::string(known.key) : std::string();
        }
        return fail(SettingsError::UnknownKey, name + " is unknown: expected one of" + expected);
    }
    if (std::find(seenKeys_.begin(), seenKeys_.end(), section + "." + key) != seenKeys_.end()) {
        return fail(SettingsError::RepeatedKey, name + " is repeated, with value '" + value + "'");
    }
    seenKeys_.push_back(section + "." + key);
    if (!row->parse(settings_, value)) {
        // Keys are secret and must not appear in messages, which may be logged.
        const std::string shown = section == "keys" ? "value" : "value '" + value + "'";
        return fail(SettingsError::InvalidValue,
                    name + ": invalid " + shown + "; expected " + std::string(row->expected));
    }
    return true;
}

bool SettingsLoader::fail(SettingsError error, const std::string &detail)
{
    lastError_ = error;
    lastDetail_ = path_ + ": " + detail;
    return false;
}

bool SettingsLoader::validate()
{
    const auto isRequired = [&](const SettingRow &row) {
        return row.requirement == Requirement::Always
            || (row.requirement == Requirement::RequestFrontend && settings_.frontend == Frontend::Requests);
    };
    for (const SettingRow &row : SettingRows) {
        const std::string name = std::string(row.section) + "." + std::string(row.key);
        if (isRequired(row) && std::find(seenKeys_.begin(), seenKeys_.end(), name) == seenKeys_.end()) {
            return fail(SettingsError::MissingKey,
                        "section [" + std::string(row.section) + "], key '" + std::string(row.key)
                            + "' is missing; expected " + std::string(row.expected));
        }
    }
    if (settings_.keys.empty()) {
        return true;
    }
    // The current key is used to sign, wherever it is in the file.
    const auto isCurrent = [&](const std::string &name) {
        return name == "keys.current" || name == "keys.derive-from";
    };
    std::vector<std::string> keyNames;
    std::copy_if(seenKeys_.begin(), seenKeys_.end(), std::back_inserter(keyNames),
                 [](const std::string &name) { return name.starts_with("keys."); });
    const auto current = std::find_if(keyNames.begin(), keyNames.end(), isCurrent) - keyNames.begin();
    std::swap(settings_.keys.front(), settings_.keys[static_cast<std::size_t>(current)]);
    return true;
}

} // namespace poplarroad
