#ifndef POPLARROAD_CONTRACT_RETRYBUDGET_H
#define POPLARROAD_CONTRACT_RETRYBUDGET_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/** Limits the retries of one service to a fraction of its requests, so that retries do not amplify an overload. */
class RetryBudget
{
public:
    /** Adds budget for a first attempt. */
    void onRequest(TimePoint now);
    /** Takes one retry from the budget. @return whether the budget allowed it */
    bool tryConsume(TimePoint now);
    /**
     * Exponential backoff with full jitter.
     *
     * @param retry number of the retry, from 1
     * @param randomUnit a random number in [0, 1)
     * @return a delay between 0 and a bound that doubles with each retry, up to a maximum
     */
    static Milliseconds backoffDelay(std::uint32_t retry, double randomUnit);

private:
    void refill(TimePoint now);

    double tokens_ = 3.0; ///< retries that the budget allows now
    TimePoint refilledAt_;
    bool started_ = false;
};

} // namespace poplarroad

#endif
