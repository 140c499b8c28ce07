#include "poplarroad/id.h"

#include <xxhash.h>

namespace poplarroad
{

ZoneId zoneIdOf(std::string_view name)
{
    return { XXH32(name.data(), name.size(), 0) };
}

ServiceId serviceIdOf(std::string_view name)
{
    return { XXH32(name.data(), name.size(), 1) };
}

KindId kindIdOf(std::string_view name)
{
    return { XXH32(name.data(), name.size(), 2) };
}

TargetId targetIdOf(std::string_view name)
{
    return { XXH3_64bits(name.data(), name.size()) };
}

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate)
{
    return XXH3_64bits_withSeed(&candidate, sizeof(candidate), key);
}

} // namespace poplarroad
