#include "scenario.h"

#include <INIReader.h>

#include <algorithm>

namespace poplarroad::standins
{

namespace
{

KindSettings readKind(const INIReader &ini, const std::string &section)
{
    const auto milliseconds = [&](const char *key, long fallback) {
        return Milliseconds(ini.GetInteger(section, key, fallback));
    };
    KindSettings kind;
    kind.name = section;
    kind.service = serviceIdOf(ini.Get(section, "service", ""));
    kind.kind = kindIdOf(ini.Get(section, "kind", section));
    kind.idempotent = ini.GetBoolean(section, "idempotent", true);
    kind.feed = ini.GetBoolean(section, "feed", false);
    kind.rate = ini.GetReal(section, "rate", kind.rate);
    kind.deadline = milliseconds("deadline-ms", kind.deadline.count());
    kind.flows = static_cast<std::size_t>(std::max(1L, ini.GetInteger(section, "flows", 1)));
    kind.callers = static_cast<std::size_t>(std::max(1L, ini.GetInteger(section, "callers", 1)));
    kind.answerBytes = static_cast<std::size_t>(ini.GetInteger(section, "size", 0));
    kind.floodFrom = milliseconds("flood-from-ms", 0);
    kind.floodUntil = milliseconds("flood-until-ms", 0);
    kind.floodFactor = ini.GetReal(section, "flood-factor", 1.0);
    return kind;
}

std::int64_t percentile(const std::vector<std::int64_t> &sorted, double fraction)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
}

nlohmann::json latencyJson(std::vector<std::int64_t> latencies)
{
    std::sort(latencies.begin(), latencies.end());
    return { { "p50", percentile(latencies, 0.5) },
             { "p90", percentile(latencies, 0.9) },
             { "p99", percentile(latencies, 0.99) },
             { "max", latencies.back() } };
}

} // namespace

Milliseconds Scenario::longestDeadline() const
{
    Milliseconds longest{ 0 };
    for (const KindSettings &kind : kinds) {
        longest = std::max(longest, kind.feed ? Milliseconds(0) : kind.deadline);
    }
    return longest;
}

void KindReport::add(const std::string &outcome, Microseconds latency)
{
    ++outcomes[outcome];
    latencies[outcome].push_back(latency.count());
}

nlohmann::json Report::toJson(const Scenario &scenario)
{
    nlohmann::json json{ { "wrong", wrong }, { "repeated", repeated }, { "undecoded", undecoded } };
    json["workByTarget"] = workByTarget;
    for (const auto &[index, kind] : kinds) {
        nlohmann::json &entry = json["kinds"][scenario.kinds[index].name];
        entry = { { "offered", kind.offered }, { "outcomes", kind.outcomes } };
        if (scenario.kinds[index].feed) {
            entry["positions"] = kind.positions;
            entry["gaps"] = kind.gaps;
            entry["resumes"] = kind.resumes;
            entry["silences"] = kind.silences;
            entry["broken"] = kind.broken;
        }
        for (const auto &[outcome, latencies] : kind.latencies) {
            entry["latencyUs"][outcome] = latencyJson(latencies);
        }
    }
    return json;
}

std::optional<Scenario> readScenario(const std::string &path, std::string &error)
{
    const INIReader ini(path);
    Scenario scenario;
    if (ini.ParseError() != 0) {
        error = path + ": cannot read the file, or syntax error in line " + std::to_string(ini.ParseError());
        return std::nullopt;
    }
    for (const std::string &text : splitList(ini.Get("run", "daemons", ""))) {
        const auto address = parseHostAddress(text);
        if (!address) {
            error = path;
            error += ": section [run], key 'daemons': invalid address '" + text + "'; expected a.b.c.d:port";
            return std::nullopt;
        }
        scenario.daemons.push_back(*address);
    }
    scenario.duration = Milliseconds(ini.GetInteger("run", "duration-ms", 1000));
    scenario.seed = static_cast<std::uint64_t>(ini.GetInteger("run", "seed", 1));
    scenario.report = ini.Get("run", "report", "");
    scenario.ledger = ini.Get("run", "ledger", "");
    for (const std::string &name : splitList(ini.Get("run", "kinds", ""))) {
        scenario.kinds.push_back(readKind(ini, name));
    }
    if (scenario.daemons.empty() || scenario.kinds.empty()) {
        error = path + ": section [run], keys 'daemons' and 'kinds' must not be empty";
        return std::nullopt;
    }
    return scenario;
}

} // namespace poplarroad::standins
