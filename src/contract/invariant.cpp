#include "invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace poplarroad
{

namespace
{
std::atomic<std::uint64_t> failures{ 0 };
std::atomic<bool> abortOnFailure{ false };
} // namespace

std::uint64_t invariantFailures()
{
    return failures.load(std::memory_order_relaxed);
}

void abortOnInvariantFailure(bool abort)
{
    abortOnFailure.store(abort, std::memory_order_relaxed);
}

void invariantFailed(const char *expression, const char *file, int line)
{
    failures.fetch_add(1, std::memory_order_relaxed);
    if (abortOnFailure.load(std::memory_order_relaxed)) {
        std::fprintf(stderr, "%s:%d: invariant failed: %s\n", file, line, expression);
        std::abort();
    }
}

} // namespace poplarroad
