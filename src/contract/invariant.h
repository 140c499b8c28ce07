#ifndef POPLARROAD_CONTRACT_INVARIANT_H
#define POPLARROAD_CONTRACT_INVARIANT_H

#include <cstdint>

namespace poplarroad
{

/** @return the number of failed invariant checks in this process */
std::uint64_t invariantFailures();
/** Makes a failed check abort the process, for tests; otherwise the failure is counted and the process continues. */
void abortOnInvariantFailure(bool abort);
/** Counts a failed check; prints its location and aborts if abortOnInvariantFailure() is set. */
void invariantFailed(const char *expression, const char *file, int line);

} // namespace poplarroad

/** Checks an invariant, in every build type. */
#define POPLARROAD_CHECK(expression)                                                                                   \
    ((expression) ? static_cast<void>(0) : ::poplarroad::invariantFailed(#expression, __FILE__, __LINE__))

#endif
