#ifndef POPLARROAD_CONTRACT_RETRYBUDGET_H
#define POPLARROAD_CONTRACT_RETRYBUDGET_H

#include "poplarroad/clock.h"

#include <cstdint>

namespace poplarroad
{

/** Limits the retries of one service to a part of its requests, so that retries do not multiply an overload. */
class RetryBudget
{
public:
    /** Counts a first attempt. */
    void onRequest(TimePoint now);
    /** @return whether a retry is allowed now; an allowed one is charged */
    bool tryConsume(TimePoint now);
    /**
     * Delay before a retry, with full jitter.
     *
     * @param retry number of the retry, from 1
     * @param randomUnit a random number in [0, 1)
     * @return a delay between 0 and a bound that doubles with each retry
     */
    static Milliseconds backoffDelay(std::uint32_t retry, double randomUnit);

private:
    void refill(TimePoint now);

    double tokens_ = 3.0;
    TimePoint refilledAt_;
    bool started_ = false;
};

} // namespace poplarroad

#endif
