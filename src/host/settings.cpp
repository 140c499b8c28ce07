#include "host/settings.h"

#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace poplarroad
{

namespace
{

using Take = bool (*)(Settings &, const std::string &value);

/** Which daemons a key is required for. */
enum class Need : std::uint8_t {
    Optional,
    Requests, ///< by the frontend for requests
    Always,
};

/** One key of the file. */
struct KeyRow
{
    std::string_view section;
    std::string_view key;
    Need need;
    Take take; ///< false when the value is refused
    std::string_view accepted;
};

bool takeAddress(HostAddress &to, const std::string &value)
{
    const auto address = parseHostAddress(value);
    to = address.value_or(HostAddress{});
    return address && address->port != 0;
}

bool takeMilliseconds(Milliseconds &to, const std::string &value, std::int64_t largest)
{
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), count);
    to = Milliseconds(count);
    return error == std::errc() && end == value.data() + value.size() && count > 0 && count <= largest;
}

bool takeNumber(double &to, const std::string &value, double largest)
{
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), to);
    return error == std::errc() && end == value.data() + value.size() && to >= 0.0 && to <= largest;
}

bool takeSeeds(Settings &settings, const std::string &value)
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

std::optional<std::uint8_t> parseByte(std::string_view text, int base)
{
    std::uint8_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** Takes "id:hex". */
bool takeKey(Settings &settings, const std::string &value)
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
    const bool taken =
        std::any_of(settings.keys.begin(), settings.keys.end(), [&](const Key &other) { return other.id == key.id; });
    settings.keys.push_back(key);
    return !taken;
}

/** Takes a key that is the digest of a text, where no secret can be given to the balancers. */
bool takeDerivedKey(Settings &settings, const std::string &value)
{
    Key key;
    const Mac first = computeMac(key, value);
    std::copy(first.begin(), first.end(), key.bytes.begin());
    const Mac second = computeMac(key, value);
    static_assert(first.size() + second.size() == sizeof(key.bytes));
    std::copy(second.begin(), second.end(), key.bytes.begin() + first.size());
    settings.keys.push_back(key);
    return !value.empty();
}

template<HostAddress Settings::*Member>
bool addressTo(Settings &settings, const std::string &value)
{
    return takeAddress(settings.*Member, value);
}

constexpr std::string_view anAddress = "an IPv4 address and a port other than 0, as a.b.c.d:port";
constexpr std::string_view aKey = "a number from 0 to 255 that no other key has, a colon, and 64 hexadecimal digits";

constexpr std::array keyRows{
    KeyRow{ "host", "frontend", Need::Optional,
            [](Settings &settings, const std::string &value) {
                const auto frontend = enumFrom<Frontend>(value);
                settings.frontend = frontend.value_or(Frontend::Requests);
                return frontend.has_value();
            },
            "requests or packets" },
    KeyRow{ "host", "zone", Need::Always,
            [](Settings &settings, const std::string &value) {
                settings.zone = value;
                return !value.empty();
            },
            "the name of an availability zone" },
    KeyRow{ "host", "callers", Need::Always, addressTo<&Settings::callers>, anAddress },
    KeyRow{ "host", "peers", Need::Always, addressTo<&Settings::peers>, anAddress },
    KeyRow{ "host", "operator", Need::Requests, addressTo<&Settings::operators>, anAddress },
    KeyRow{ "host", "metrics", Need::Always, addressTo<&Settings::metrics>, anAddress },
    KeyRow{ "host", "seeds", Need::Optional, takeSeeds,
            "addresses of balancers, a.b.c.d:port, with commas between them" },
    KeyRow{ "host", "leave-timeout-ms", Need::Optional,
            [](Settings &settings, const std::string &value) {
                return takeMilliseconds(settings.leaveTimeout, value, 3'600'000);
            },
            "milliseconds from 1 to 3600000" },
    KeyRow{ "host", "connect-timeout-ms", Need::Optional,
            [](Settings &settings, const std::string &value) {
                return takeMilliseconds(settings.connectTimeout, value, 60'000);
            },
            "milliseconds from 1 to 60000" },
    KeyRow{ "host", "readiness-path", Need::Optional,
            [](Settings &settings, const std::string &value) {
                settings.readinessPath = value;
                return value.starts_with('/');
            },
            "a path that begins with /" },
    KeyRow{ "host", "processor-share", Need::Optional,
            [](Settings &settings, const std::string &value) {
                return takeNumber(settings.processorShare, value, 1024.0) && settings.processorShare > 0.0;
            },
            "a number of cores above 0, at most 1024" },
    KeyRow{ "host", "link-mbps", Need::Optional,
            [](Settings &settings, const std::string &value) {
                return takeNumber(settings.linkMbps, value, 1e6) && settings.linkMbps > 0.0;
            },
            "megabits a second, above 0 and at most 1000000" },
    KeyRow{ "host", "drain-time-ms", Need::Optional,
            [](Settings &settings, const std::string &value) {
                return takeMilliseconds(settings.drainTime, value, 60'000);
            },
            "milliseconds from 1 to 60000" },
    KeyRow{ "platform", "address", Need::Always, addressTo<&Settings::platform>, anAddress },
    KeyRow{ "keys", "current", Need::Requests, takeKey, aKey },
    KeyRow{ "keys", "next", Need::Optional, takeKey, aKey },
    KeyRow{ "keys", "derive-from", Need::Optional, takeDerivedKey, "a text that all balancers of the fleet share" },
    KeyRow{ "keys", "previous", Need::Optional, takeKey, aKey },
    KeyRow{ "trace", "file", Need::Optional,
            [](Settings &settings, const std::string &value) {
                settings.traceFile = value;
                return !value.empty();
            },
            "a path" },
    KeyRow{ "trace", "sample", Need::Optional,
            [](Settings &settings, const std::string &value) { return takeNumber(settings.traceSample, value, 1.0); },
            "a number from 0 to 1" },
    KeyRow{ "log", "level", Need::Optional,
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
        refuse(SettingsError::CannotRead, "the file cannot be read");
    } else if (result > 0 && !lastError_) {
        refuse(SettingsError::Syntax, "line " + std::to_string(result) + ": accepted are [section] and key = value");
    }
    if (lastError_ || !complete()) {
        return std::nullopt;
    }
    return settings_;
}

int SettingsLoader::onValue(void *self, const char *section, const char *key, const char *value)
{
    auto *loader = static_cast<SettingsLoader *>(self);
    // Only the first error is reported; the parser goes on after it.
    return !loader->lastError_ && loader->take(section, key, value) ? 1 : 0;
}

bool SettingsLoader::take(const std::string &section, const std::string &key, const std::string &value)
{
    const auto inSection = [&](const KeyRow &row) { return row.section == section; };
    if (std::none_of(keyRows.begin(), keyRows.end(), inSection)) {
        return refuse(SettingsError::UnknownSection,
                      "section [" + section + "]: accepted are host, platform, keys, trace and log");
    }
    const auto row = std::find_if(keyRows.begin(), keyRows.end(),
                                  [&](const KeyRow &known) { return inSection(known) && known.key == key; });
    const std::string name = "section [" + section + "], key '" + key + "'";
    if (row == keyRows.end()) {
        std::string accepted;
        for (const KeyRow &known : keyRows) {
            accepted += inSection(known) ? " " + std::string(known.key) : std::string();
        }
        return refuse(SettingsError::UnknownKey, name + " is unknown: accepted are" + accepted);
    }
    if (std::find(seen_.begin(), seen_.end(), section + "." + key) != seen_.end()) {
        return refuse(SettingsError::RepeatedKey, name + " is given twice, again with '" + value + "'");
    }
    seen_.push_back(section + "." + key);
    if (!row->take(settings_, value)) {
        // A key is a secret and is not repeated in a message that may reach a log.
        const std::string shown = section == "keys" ? "the value" : "'" + value + "'";
        return refuse(SettingsError::InvalidValue,
                      name + ": " + shown + " is refused; accepted is " + std::string(row->accepted));
    }
    return true;
}

bool SettingsLoader::refuse(SettingsError error, const std::string &detail)
{
    lastError_ = error;
    lastDetail_ = path_ + ": " + detail;
    return false;
}

bool SettingsLoader::complete()
{
    const auto needed = [&](const KeyRow &row) {
        return row.need == Need::Always || (row.need == Need::Requests && settings_.frontend == Frontend::Requests);
    };
    for (const KeyRow &row : keyRows) {
        const std::string name = std::string(row.section) + "." + std::string(row.key);
        if (needed(row) && std::find(seen_.begin(), seen_.end(), name) == seen_.end()) {
            return refuse(SettingsError::MissingKey,
                          "section [" + std::string(row.section) + "], key '" + std::string(row.key)
                              + "' is missing; accepted is " + std::string(row.accepted));
        }
    }
    if (settings_.keys.empty()) {
        return true;
    }
    // The order in the file does not matter: the current key signs.
    const auto isCurrent = [&](const std::string &name) {
        return name == "keys.current" || name == "keys.derive-from";
    };
    std::vector<std::string> keyNames;
    std::copy_if(seen_.begin(), seen_.end(), std::back_inserter(keyNames),
                 [](const std::string &name) { return name.starts_with("keys."); });
    const auto current = std::find_if(keyNames.begin(), keyNames.end(), isCurrent) - keyNames.begin();
    std::swap(settings_.keys.front(), settings_.keys[static_cast<std::size_t>(current)]);
    return true;
}

} // namespace poplarroad
