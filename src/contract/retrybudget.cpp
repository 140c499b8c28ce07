#include "retrybudget.h"

#include <algorithm>

namespace poplarroad
{

namespace
{

constexpr double RetriesPerRequest = 0.1;
constexpr double RetriesPerSecond = 3.0;
/** Largest accumulated budget in retries, so that a burst of retries after a quiet period cannot overload a pool. */
constexpr double MaxBurst = 100.0;
/** Elapsed time refills the budget only up to this many retries; requests refill it up to MaxBurst. */
constexpr double IdleBurst = RetriesPerSecond;
constexpr double InitialDelayMs = 20.0;
constexpr double MaxDelayMs = 500.0;
constexpr std::uint32_t MaxDoublings = 10;

} // namespace

void RetryBudget::refill(TimePoint now)
{
    const double seconds = started_ ? std::chrono::duration<double>(now - refilledAt_).count() : 0.0;
    started_ = true;
    refilledAt_ = now;
    if (tokens_ < IdleBurst) {
        tokens_ = std::min(IdleBurst, tokens_ + std::max(0.0, seconds) * RetriesPerSecond);
    }
}

void RetryBudget::onRequest(TimePoint now)
{
    refill(now);
    tokens_ = std::min(MaxBurst, tokens_ + RetriesPerRequest);
}

bool RetryBudget::tryConsume(TimePoint now)
{
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

Milliseconds RetryBudget::backoffDelay(std::uint32_t retry, double randomUnit)
{
    const std::uint32_t doublings = std::min(retry > 0 ? retry - 1 : 0, MaxDoublings);
    const double bound = std::min(MaxDelayMs, InitialDelayMs * static_cast<double>(1U << doublings));
    return Milliseconds(static_cast<Milliseconds::rep>(bound * randomUnit));
}

} // namespace poplarroad
