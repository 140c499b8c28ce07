// Cost per packet in FlowRouter, by number of flows and targets: for known flows, new flows, and packets of unknown
// flows whose tag belongs to no target.

#include "service/flowrouter.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

namespace
{

std::uint64_t allocations = 0; ///< calls of the replaced operator new

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace
{

using namespace poplarroad;

constexpr TimePoint Start{ std::chrono::seconds(1000) };
const ServiceId StockService = serviceIdOf("stock");
const HostAddress RouteAddress{ 0xc6120001, 443 };

FlowRouter routerWith(std::int64_t targets)
{
    FlowRouter router(zoneIdOf("own"), 1);
    auto map = std::make_shared<ServiceMap>();
    map->version = 1;
    map->routes[RouteAddress] = {
        RouteAddress,      { { StockService, 1 } }, RequestKind::Idempotent,
        Urgency::Critical, Milliseconds(3'600'000), Milliseconds(3'600'000),
    };
    router.setServices(map);
    std::vector<TargetChange> changes;
    for (std::int64_t id = 1; id <= targets; ++id) {
        TargetChange change;
        change.target.target.id = TargetId{ static_cast<std::uint64_t>(id) };
        change.target.target.service = StockService;
        change.target.target.zone = zoneIdOf("own");
        change.target.target.slots = 3;
        changes.push_back(change);
    }
    router.setTargets(changes, true, Start);
    return router;
}

Packet packetOf(std::int64_t flow, std::int64_t targets)
{
    Packet packet;
    packet.flow = { { static_cast<std::uint32_t>(flow), 40000 }, RouteAddress };
    packet.tag = packetTagOf(TargetId{ 1 + static_cast<std::uint64_t>(flow % targets) });
    packet.sequence = 100;
    packet.acknowledged = 5000;
    packet.length = 300;
    return packet;
}

void knownFlow(benchmark::State &state)
{
    const std::int64_t flows = state.range(0);
    const std::int64_t targets = state.range(1);
    FlowRouter router = routerWith(targets);
    for (std::int64_t flow = 0; flow < flows; ++flow) {
        router.onPacket(packetOf(flow, targets), Start);
    }
    std::int64_t next = 0;
    std::uint32_t acknowledged = 5000;
    const std::uint64_t before = allocations;
    for (auto _ : state) {
        Packet packet = packetOf(next, targets);
        packet.acknowledged = ++acknowledged;
        benchmark::DoNotOptimize(router.onPacket(packet, Start));
        next = (next + 7919) % flows; // prime stride: consecutive packets belong to distant flows
    }
    state.counters["allocations"] =
        static_cast<double>(allocations - before) / static_cast<double>(std::max<std::int64_t>(state.iterations(), 1));
}
BENCHMARK(knownFlow)->ArgsProduct({ { 1000, 30'000, 1'000'000 }, { 18, 10'000 } });

void newFlow(benchmark::State &state)
{
    FlowRouter router = routerWith(state.range(0));
    std::int64_t next = 0;
    for (auto _ : state) {
        Packet packet = packetOf(next++ % 10'000, state.range(0));
        packet.opens = true;
        packet.sequence = static_cast<std::uint32_t>(next);
        benchmark::DoNotOptimize(router.onPacket(packet, Start));
    }
}
BENCHMARK(newFlow)->Arg(18)->Arg(150)->Arg(10'000);

void unknownTag(benchmark::State &state)
{
    FlowRouter router = routerWith(18);
    Packet packet = packetOf(1, 18);
    packet.tag = PacketTag{ 0xdeadbeef };
    for (auto _ : state) {
        benchmark::DoNotOptimize(router.onPacket(packet, Start));
    }
}
BENCHMARK(unknownTag);

} // namespace

BENCHMARK_MAIN();
