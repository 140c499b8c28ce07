// Memory per flow and lookup time of FlowTable at 300,000 flows, compared with absl::flat_hash_map; prints JSON.
#include "service/flowtable.h"
#include "measure.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace poplarroad;

namespace
{

constexpr std::size_t FlowCount = 300000;

FlowId flowAt(std::size_t i)
{
    return FlowId{ rendezvousWeight(i, 1) };
}

/** @return mean time of a lookup; the sum of the results keeps the compiler from removing the lookups */
template<typename Lookup>
double nanosecondsPerLookup(const std::vector<FlowId> &order, Lookup lookup)
{
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t sum = 0;
    for (const FlowId id : order) {
        sum += lookup(id);
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    volatile std::uint64_t sink = sum;
    static_cast<void>(sink);
    return elapsed.count() / static_cast<double>(order.size());
}

std::vector<FlowId> lookupOrder()
{
    std::vector<FlowId> order;
    for (std::size_t i = 0; i < 4 * FlowCount; ++i) {
        order.push_back(flowAt(rendezvousWeight(i, 2) % FlowCount));
    }
    return order;
}

} // namespace

int main()
{
    const TimePoint now{};
    const std::size_t before = allocatedBytes();
    FlowTable table(1000000, std::chrono::seconds(120), now);
    double worstInsertUs = 0.0;
    for (std::size_t i = 0; i < FlowCount; ++i) {
        const auto start = std::chrono::steady_clock::now();
        table.findOrInsert(flowAt(i), now)->target = static_cast<std::uint16_t>(i % 14);
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
        worstInsertUs = std::max(worstInsertUs, elapsed.count());
    }
    const double bytes = static_cast<double>(allocatedBytes() - before + sizeof(FlowTable)) / FlowCount;
    absl::flat_hash_map<FlowId, Flow> plainMap;
    for (std::size_t i = 0; i < FlowCount; ++i) {
        plainMap[flowAt(i)].target = static_cast<std::uint16_t>(i % 14);
    }
    const std::vector<FlowId> order = lookupOrder();
    double tableNs = 1e9;
    double plainMapNs = 1e9;
    for (int round = 0; round < 7; ++round) {
        tableNs = std::min(tableNs, nanosecondsPerLookup(order, [&](FlowId id) { return table.find(id)->target; }));
        plainMapNs = std::min(plainMapNs,
                              nanosecondsPerLookup(order, [&](FlowId id) { return plainMap.find(id)->second.target; }));
    }
    std::printf("{\"flows\": %zu, \"bytesPerFlow\": %.1f, \"lookupNs\": %.1f, \"bareLookupNs\": %.1f, "
                "\"lookupRatio\": %.2f, \"worstInsertUs\": %.0f}\n",
                FlowCount, bytes, tableNs, plainMapNs, tableNs / plainMapNs, worstInsertUs);
    return EXIT_SUCCESS;
}
