#ifndef POPLARROAD_ZONE_H
#define POPLARROAD_ZONE_H

#include "poplarroad/id.h"

#include <string>

namespace poplarroad
{

/** An availability zone with its own hosts and targets. */
struct Zone
{
    ZoneId id;
    std::string name;

    friend bool operator==(const Zone &, const Zone &) = default;
};

} // namespace poplarroad

#endif
