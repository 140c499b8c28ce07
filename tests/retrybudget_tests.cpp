#include "contract/retrybudget.h"

#include <catch2/catch.hpp>

using namespace poplarroad;

TEST_CASE("retries are limited to 10% of the requests plus 3 per second")
{
    RetryBudget budget;
    TimePoint now{};
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        now += Milliseconds(1);
        budget.onRequest(now);
        retries += budget.tryConsume(now) ? 1 : 0;
    }
    CHECK(retries <= 1000 + 30 + 3);
    CHECK(retries >= 1000);
}

TEST_CASE("the budget does not grow beyond 3 retries during an idle period")
{
    RetryBudget budget;
    TimePoint now{};
    int retries = 0;
    CHECK(budget.tryConsume(now));
    now += std::chrono::hours(1);
    while (budget.tryConsume(now)) {
        ++retries;
    }
    CHECK(retries == 3);
}

TEST_CASE("retry delays have full jitter and a bound")
{
    CHECK(RetryBudget::backoffDelay(1, 0.0) == Milliseconds(0));
    CHECK(RetryBudget::backoffDelay(1, 0.5) == Milliseconds(10));
    CHECK(RetryBudget::backoffDelay(3, 0.5) == Milliseconds(40));
    CHECK(RetryBudget::backoffDelay(4000000000U, 0.999) < Milliseconds(500));
}
