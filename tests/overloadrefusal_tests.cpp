#include "fakeload.h"

#include <catch2/catch.hpp>

using namespace poplarroad;
using namespace poplarroad::test;
using namespace std::chrono_literals;

TEST_CASE("at 70% load no request that its targets shed is refused later than 10 ms plus the network delay")
{
    const auto seed = GENERATE(as<std::uint64_t>{}, 1, 2, 3, 4);
    INFO("seed " << seed);
    LoadOptions options;
    options.seed = seed;
    options.deployment = Deployment::Bajio;
    options.demands = { { "reservation", 0.35 }, { "pickup", 0.35 } };
    options.duration = 14s;
    options.measureFrom = 4s;
    FakeLoad load(options);
    const LoadReport report = load.run();
    CHECK(report.kinds.at("pickup").lateRefusals == 0);
    CHECK(report.kinds.at("reservation").lateRefusals == 0);
}
