// Processor time and memory of Router and Dispatcher per flow and request, in virtual time; prints JSON.
// Arguments: numbers of flows; default 10000 100000 300000 1000000.

#include "../tests/dispatcherload.h"
#include "measure.h"
#include "poplarroad/router.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

using namespace poplarroad;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t TargetsPerPool = 64; // largest partition of a pool
constexpr std::size_t PayloadBytes = 200;
constexpr auto OpeningTime = 60s; // time to open all flows: half of their idle timeout

double perUnit(double total, std::size_t units)
{
    return total / static_cast<double>(std::max<std::size_t>(units, 1));
}

nlohmann::json measureFlows(std::size_t flows)
{
    const std::size_t before = allocatedBytes();
    DispatcherLoad load;
    const auto step = std::chrono::nanoseconds(OpeningTime) / static_cast<std::int64_t>(flows);
    double begin = processorSeconds();
    std::size_t answered = 0;
    for (std::size_t i = 1; i <= flows; ++i) {
        answered += load.request(ListKind, i, 1) ? 1 : 0;
        load.advance(step);
    }
    const double openingSeconds = processorSeconds() - begin;
    const double bytesWithRecords = static_cast<double>(allocatedBytes() - before);
    const std::uint64_t known = load.flows();
    load.advance(11s); // the dispatcher keeps answer records for 10 s
    const double idleBytes = static_cast<double>(allocatedBytes() - before);
    begin = processorSeconds();
    const std::size_t repeats = std::min<std::size_t>(flows, 100000);
    const auto repeatStep = std::chrono::nanoseconds(30s) / static_cast<std::int64_t>(repeats);
    for (std::size_t i = 1; i <= repeats; ++i) {
        load.request(ListKind, flows - i + 1, 2);
        load.advance(repeatStep);
    }
    return { { "flows", flows },
             { "flowsKnown", known },
             { "newFlowsPerSecond", static_cast<double>(flows) / 60.0 },
             { "answered", answered },
             { "processorMicrosecondsPerNewFlow", perUnit(openingSeconds * 1e6, flows) },
             { "processorMicrosecondsPerRequest", perUnit((processorSeconds() - begin) * 1e6, repeats) },
             { "bytesPerFlowWithRecords", perUnit(bytesWithRecords, known) },
             { "bytesPerIdleFlow", perUnit(idleBytes, known) } };
}

/** Memory per flow while 2,000 new flows per second are opened, the required rate. */
double steadyBytesPerFlow(std::size_t flows, std::size_t payloadBytes)
{
    const std::size_t before = allocatedBytes();
    DispatcherLoad load(payloadBytes);
    load.openFlows(flows);
    return perUnit(static_cast<double>(allocatedBytes() - before), load.flows());
}

nlohmann::json measureSteadyFlows(std::size_t flows)
{
    return { { "flows", flows },
             { "bytesPerFlow", steadyBytesPerFlow(flows, 0) },
             { "bytesPerFlowWithAnswers", steadyBytesPerFlow(flows, PayloadBytes) } };
}

/** Measures open feeds; each keeps its record while it is open. */
nlohmann::json measureFeeds(std::size_t feeds)
{
    const std::size_t before = allocatedBytes();
    DispatcherLoad load;
    const double begin = processorSeconds();
    std::size_t open = 0;
    for (std::size_t i = 1; i <= feeds; ++i) {
        // All open at the same time, since a feed without a first result ends at its deadline.
        open += load.request(FeedKind, i, 1, true) ? 1 : 0;
    }
    const double seconds = processorSeconds() - begin;
    return { { "feeds", open },
             { "processorMicrosecondsPerFeed", perUnit(seconds * 1e6, open) },
             { "bytesPerOpenFeed", perUnit(static_cast<double>(allocatedBytes() - before), open) } };
}

RequestMessage routedRequest(std::uint64_t flow)
{
    RequestMessage message = makeRequest(ListKind, flow, 1);
    message.payload = std::string(PayloadBytes, 'x');
    message.remaining = 60s;
    return message;
}

/** Measures requests and replies at an ingress host whose pool is dispatched by another host. */
nlohmann::json measureRouter(std::size_t requests)
{
    TimePoint now = TimePoint{} + 1000s;
    Router router(1);
    router.setConfiguration(std::make_shared<Configuration>(makeTestConfiguration(TargetsPerPool)), now);
    std::vector<HostAddress> hosts;
    for (std::uint32_t i = 1; i <= 8; ++i) {
        hosts.push_back({ i, 1 });
    }
    auto view = makeView(hosts[0], 1, hosts);
    view->joined = true;
    if (dispatcherOf(TestPool, *view)->address == view->self) {
        view->self = hosts[1];
    }
    router.setView(view, now);
    const std::size_t before = allocatedBytes();
    double begin = processorSeconds();
    for (std::uint64_t i = 1; i <= requests; ++i) {
        RouteActions actions;
        router.onCallerMessage(routedRequest(i), i, now, actions);
    }
    const double routingSeconds = processorSeconds() - begin;
    const std::uint64_t pending = router.status().pending;
    const double memory = static_cast<double>(allocatedBytes() - before);
    begin = processorSeconds();
    for (std::uint64_t i = 1; i <= requests; ++i) {
        AnswerMessage answer;
        answer.id = { FlowId{ i }, 1 };
        answer.service = TestPool.service;
        answer.caller = CallerId{ i };
        answer.payload = std::string(PayloadBytes, 'y');
        RouteActions actions;
        router.onReply(std::move(answer), { view->self, i }, now, actions);
    }
    return { { "requests", requests },
             { "openRequests", pending },
             { "bytesPerOpenRequest", perUnit(memory, pending) },
             { "processorMicrosecondsPerRequest", perUnit(routingSeconds * 1e6, requests) },
             { "processorMicrosecondsPerReply", perUnit((processorSeconds() - begin) * 1e6, requests) } };
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes{ 10000, 100000, 300000, 1000000 };
    if (argc > 1) {
        sizes.clear();
    }
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    nlohmann::json result;
    for (const std::size_t flows : sizes) {
        result["flows"].push_back(measureFlows(flows));
        result["flowsAt2000NewASecond"].push_back(measureSteadyFlows(flows));
    }
    for (const std::size_t open : { 1000U, 10000U, 100000U }) {
        result["feeds"].push_back(measureFeeds(open));
        result["router"].push_back(measureRouter(open));
    }
    std::cout << result.dump(2) << '\n';
}
