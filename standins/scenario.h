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
    std::size_t callers = 1; ///< the flows are distributed evenly over them
    std::size_t answerBytes = 0; ///< requested size of each answer
    Milliseconds floodFrom{ 0 }; ///< start of the overload, after the start of the run
    Milliseconds floodUntil{ 0 };
    double floodFactor = 1.0; ///< factor of the rate during the overload

    /** @return requests per second at the given time after the start */
    double rateAt(Milliseconds time) const
    {
        return time >= floodFrom && time < floodUntil ? rate * floodFactor : rate;
    }
};

/** Settings of a run of the caller simulator. */
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
    std::uint64_t offered = 0; ///< requests started
    std::uint64_t positions = 0; ///< feed positions received
    std::uint64_t gaps = 0; ///< feed positions that were skipped
    std::uint64_t resumes = 0; ///< feeds requested again after they ended or fell silent
    std::uint64_t silences = 0; ///< feeds resumed for lack of answers
    std::uint64_t broken = 0; ///< feeds with gaps, or without recent positions at the end
    std::map<std::string, std::uint64_t> outcomes; ///< requests by outcome, as "outcome" or "outcome:reason"
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
    std::map<std::string, std::uint64_t> workByTarget; ///< answers and feed positions by target name

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
