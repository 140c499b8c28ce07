#include "routingfixture.h"
#include "zone/zonechooser.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace poplarroad;
using namespace poplarroad::testing;

namespace
{

ZoneChooser chooserOf(const std::vector<int> &targets, const std::vector<int> &hosts, std::size_t zone)
{
    ZoneChooser chooser;
    chooser.setConfiguration(makeConfiguration(targets));
    chooser.setView(std::make_shared<FleetView>(makeView(hosts, zone, 0)));
    return chooser;
}

/** @return the largest load per target of a zone relative to the mean; each host receives the same number of flows */
double imbalance(const std::vector<int> &targets, const std::vector<int> &hosts)
{
    std::map<ZoneId, double> flows;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double total = 0.0;
    for (std::size_t zone = 0; zone < hosts.size(); ++zone) {
        ZoneChooser chooser = chooserOf(targets, hosts, zone);
        for (int i = 0; i < hosts[zone] * 20000; ++i) {
            flows[*chooser.choose(LotsService, unit(random), TimePoint{})] += 1.0;
            total += 1.0;
        }
    }
    double largest = 0.0;
    double allTargets = 0.0;
    for (std::size_t zone = 0; zone < targets.size(); ++zone) {
        largest = std::max(largest, flows[makeView(hosts, zone, 0).zone] / targets[zone]);
        allTargets += targets[zone];
    }
    return largest / (total / allTargets);
}

PoolReport reportOf(char zone, double saturation)
{
    return { { LotsService, zoneIdOf(std::string(1, zone)) }, saturation, Urgency::Low, Milliseconds(0) };
}

double weight(const ZoneChooser &chooser, char zone)
{
    return chooser.weightOf({ LotsService, zoneIdOf(std::string(1, zone)) });
}

} // namespace

TEST_CASE("targets of all zones get the same load, at most 10% above the mean")
{
    CHECK(imbalance({ 5, 5, 4 }, { 3, 3, 2 }) <= 1.10);
    CHECK(imbalance({ 4, 4, 3, 3 }, { 2, 2, 2, 2 }) <= 1.10);
    CHECK(imbalance({ 5, 5, 4 }, { 1, 1, 6 }) <= 1.10);
}

TEST_CASE("an unreachable zone, or one without active targets, gets no new flows")
{
    ZoneChooser chooser = chooserOf({ 1, 5, 5, 0 }, { 2, 2, 2, 2 }, 0);
    FleetView view = makeView({ 2, 2, 2, 2 }, 0, 0);
    chooser.choose(LotsService, 0.5, TimePoint{});
    view.otherZones[0].reachable = false;
    chooser.setView(std::make_shared<FleetView>(view));
    for (int i = 0; i < 1000; ++i) {
        const auto zone = chooser.choose(LotsService, i / 1000.0, TimePoint{});
        REQUIRE(zone);
        CHECK((*zone == zoneIdOf("a") || *zone == zoneIdOf("c")));
    }
    CHECK(chooser.explain(LotsService).size() == 3);
}

TEST_CASE("a zone that reaches no other zone still serves its own flows")
{
    ZoneChooser chooser = chooserOf({ 1, 5 }, { 2, 2 }, 0);
    FleetView view = makeView({ 2, 2 }, 0, 0);
    view.otherZones[0].reachable = false;
    chooser.setView(std::make_shared<FleetView>(view));
    CHECK(chooser.choose(LotsService, 0.999, TimePoint{}) == zoneIdOf("a"));
    CHECK(chooser.chooseByHash(LotsService, { 4 }) == zoneIdOf("a"));
}

TEST_CASE("weights change gradually when a pool reports saturation, so that ingresses do not all shift load at once")
{
    ZoneChooser chooser = chooserOf({ 5, 5, 5 }, { 2, 2, 2 }, 0);
    TimePoint now{};
    chooser.choose(LotsService, 0.5, now);
    double before = weight(chooser, 'a');
    for (int i = 0; i < 40; ++i) {
        now += Milliseconds(100);
        chooser.onPoolReport(reportOf('a', 20.0), now);
        chooser.choose(LotsService, 0.5, now);
        CHECK(std::abs(weight(chooser, 'a') - before) <= 0.025 + 1e-9);
        before = weight(chooser, 'a');
    }
    CHECK(before < 0.5);
}

TEST_CASE("a saturated pool does not overload the zones that it spills to")
{
    std::vector<ZoneChooser> choosers;
    const std::vector<int> hosts{ 2, 2, 2 };
    for (std::size_t zone = 0; zone < 3; ++zone) {
        choosers.push_back(chooserOf({ 5, 5, 5 }, hosts, zone));
    }
    const double arrivals[] = { 1.8, 0.5, 0.5 };
    double load[] = { 1.8, 0.5, 0.5 };
    double largestOther = 0.0;
    TimePoint now{};
    for (int step = 0; step < 600; ++step) {
        now += Milliseconds(100);
        double next[] = { 0.0, 0.0, 0.0 };
        for (std::size_t from = 0; from < 3; ++from) {
            for (std::size_t to = 0; to < 3; ++to) {
                choosers[from].onPoolReport(reportOf(static_cast<char>('a' + to), load[to]), now);
            }
            choosers[from].choose(LotsService, 0.5, now);
            for (std::size_t to = 0; to < 3; ++to) {
                next[to] += arrivals[from] * weight(choosers[from], static_cast<char>('a' + to));
            }
        }
        std::copy(next, next + 3, load);
        largestOther = std::max({ largestOther, load[1], load[2] });
    }
    INFO("loads " << load[0] << " " << load[1] << " " << load[2] << ", largest other " << largestOther);
    CHECK(load[0] <= 1.15);
    CHECK(largestOther <= 1.05);
}

TEST_CASE("all balancers place a flow without a token in the same zone")
{
    const ZoneChooser a = chooserOf({ 5, 5, 4 }, { 3, 3, 2 }, 0);
    const ZoneChooser c = chooserOf({ 5, 5, 4 }, { 3, 3, 2 }, 2);
    std::map<ZoneId, int> flows;
    for (std::uint64_t flow = 0; flow < 14000; ++flow) {
        CHECK(a.chooseByHash(LotsService, { flow }) == c.chooseByHash(LotsService, { flow }));
        ++flows[*a.chooseByHash(LotsService, { flow })];
    }
    CHECK(flows[zoneIdOf("a")] == Approx(5000).epsilon(0.05));
    CHECK(flows[zoneIdOf("c")] == Approx(4000).epsilon(0.05));
}
