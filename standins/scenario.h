#ifndef POPLARROAD_STANDINS_SCENARIO_H
#define POPLARROAD_STANDINS_SCENARIO_H

#include "common.h"

#include "poplarroad/host.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

namespace poplarroad::standins
{

/** Load settings of one request kind. */
struct KindSettings
{
    std::string name;
    ServiceId service;
    KindId kind;
    bool idempotent = true;
    bool feed = false; ///< each flow keeps one feed open; the rate is unused
    double rate = 1.0; ///< requests per second
    Milliseconds deadline{ 1000 };
    std::size_t flows = 1;
    std::size_t callers = 1;
    std::size_t answerBytes = 0;
    Milliseconds floodFrom{ 0 };
    Milliseconds floodUntil{ 0 };
    double floodFactor = 1.0;

    /** @return requests per second at the given time after the start */
    double rateAt(Milliseconds time) const
    {
        return time >= floodFrom && time < floodUntil ? rate * floodFactor : rate;
    }
};

/** Settings of a run of the callers. */
struct Scenario
{
    std::vector<HostAddress> daemons;
    Milliseconds duration{ 1000 };
    std::uint64_t seed = 1;
    std::string report; ///< path; empty for standard output
    std::string ledger; ///< path; empty for none
    std::vector<KindSettings> kinds;

    /** @return the longest deadline of the kinds that are not feeds */
    Milliseconds longestDeadline() const;
};

/** Results of one request kind. */
struct KindReport
{
    std::uint64_t offered = 0;
    std::uint64_t positions = 0;
    std::uint64_t gaps = 0; ///< feed positions that were skipped
    std::uint64_t resumes = 0;
    std::uint64_t silences = 0; ///< feeds resumed for lack of answers
    std::uint64_t broken = 0; ///< feeds with gaps, or without recent positions at the end
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::vector<std::int64_t>> latencies; ///< microseconds, by outcome

    void add(const std::string &outcome, Microseconds latency);
};

/** Results of a run. */
struct Report
{
    std::uint64_t wrong = 0; ///< answers with the content of another request, or for an unknown flow
    std::uint64_t repeated = 0; ///< answers of requests that already have an outcome
    std::uint64_t undecoded = 0; ///< datagrams that could not be decoded
    std::map<std::size_t, KindReport> kinds;
    std::map<std::string, std::uint64_t> workByTarget;

    KindReport &kind(std::size_t index)
    {
        return kinds[index];
    }
    nlohmann::json toJson(const Scenario &scenario);
};

/** @return the scenario read from an INI file, or nothing with `error` set */
std::optional<Scenario> readScenario(const std::string &path, std::string &error);

} // namespace poplarroad::standins

#endif
