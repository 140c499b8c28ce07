// Memory and processor time of configurations with different numbers of targets; prints JSON.
#include "../tests/largeconfiguration.h"
#include "link/configjson.h"
#include "measure.h"
#include "service/configreplica.h"

#include <chrono>
#include <iostream>
#include <numeric>

using namespace poplarroad;

namespace
{

using Seconds = std::chrono::duration<double>;

template<typename Function>
double measureSeconds(Function function)
{
    const auto begin = std::chrono::steady_clock::now();
    function();
    return Seconds(std::chrono::steady_clock::now() - begin).count();
}

/** @return seconds per change when each change is applied separately; earlier snapshots are released */
double secondsPerChange(ConfigReplica &replica, std::size_t targets)
{
    constexpr std::uint64_t changes = 2000;
    const std::uint64_t first = replica.revision().value + 1;
    return measureSeconds([&] {
               for (std::uint64_t i = 0; i < changes; ++i) {
                   replica.apply({ makeStateChange(first + i, targets) });
               }
           })
        / changes;
}

/** @return seconds to copy the same targets in a map without shared shards, as a baseline */
double secondsPerFullCopy(const Configuration &configuration)
{
    const absl::flat_hash_map<TargetId, Target> plain(configuration.targets().begin(), configuration.targets().end());
    constexpr int copies = 5;
    std::size_t size = 0;
    const double seconds = measureSeconds([&] {
        for (int i = 0; i < copies; ++i) {
            absl::flat_hash_map<TargetId, Target> copy = plain;
            copy.erase(TargetId{});
            size += copy.size();
        }
    });
    return size > 0 ? seconds / copies : 0.0;
}

nlohmann::json measure(std::size_t targets)
{
    const std::size_t before = allocatedBytes();
    ConfigurationPtr configuration;
    const double build =
        measureSeconds([&] { configuration = std::make_shared<const Configuration>(largeConfiguration(targets)); });
    const double memory = static_cast<double>(allocatedBytes() - before);
    std::vector<std::string> chunks;
    const double encode = measureSeconds([&] { chunks = encodeConfiguration(*configuration, 1'000'000); });
    const double decode = measureSeconds([&] { decodeConfiguration(chunks); });
    const std::size_t bytes =
        std::accumulate(chunks.begin(), chunks.end(), std::size_t{ 0 },
                        [](std::size_t sum, const std::string &text) { return sum + text.size(); });
    const double copy = secondsPerFullCopy(*configuration);
    ConfigReplica replica;
    replica.replace(configuration);
    const double change = secondsPerChange(replica, targets);
    constexpr double changesPerSecond = 60000.0 / 86400.0;
    return { { "targets", targets },
             { "buildMs", build * 1e3 },
             { "memoryBytes", memory },
             { "memoryBytesPerTarget", memory / static_cast<double>(targets) },
             { "applyOneChangeUs", change * 1e6 },
             { "copyPlainTargetMapUs", copy * 1e6 },
             { "corePercentAt60000ChangesADay", change * changesPerSecond * 100 },
             { "changeJsonBytes", encodeChange(makeStateChange(2, targets)).size() },
             { "snapshotBytes", bytes },
             { "snapshotChunks", chunks.size() },
             { "encodeSnapshotMs", encode * 1e3 },
             { "decodeSnapshotMs", decode * 1e3 } };
}

} // namespace

int main()
{
    nlohmann::json results = nlohmann::json::array();
    for (const std::size_t targets : { 20U, 200U, 2000U, 20000U, 140000U }) {
        results.push_back(measure(targets));
    }
    std::cout << results.dump(4) << std::endl;
    return 0;
}
