#ifndef POPLARROAD_HOST_FLAGNAMES_H
#define POPLARROAD_HOST_FLAGNAMES_H

#include <algorithm>
#include <cstring>

namespace poplarroad
{

/**
 * Replaces dashes in the names of command-line flags by underscores, so that `--check-config` works: Abseil flags are C++
 * identifiers and cannot contain dashes.
 */
inline void normalizeFlagNames(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        if (std::strncmp(argv[i], "--", 2) != 0) {
            continue;
        }
        char *end = std::strchr(argv[i], '=');
        end = end ? end : argv[i] + std::strlen(argv[i]);
        std::replace(argv[i] + std::min<std::ptrdiff_t>(2, end - argv[i]), end, '-', '_');
    }
}

} // namespace poplarroad

#endif
