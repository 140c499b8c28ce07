#ifndef POPLARROAD_LINK_H
#define POPLARROAD_LINK_H

#include "poplarroad/clock.h"
#include "poplarroad/id.h"

namespace poplarroad
{

/** Bidirectional network link between two zones, as declared by an operator. */
struct Link
{
    ZoneId from;
    ZoneId to;
    Microseconds delay{ 0 }; ///< one way
    double cost = 1.0; ///< relative cost of a message; raises the saturation at which requests spill over the link

    friend bool operator==(const Link &, const Link &) = default;
};

} // namespace poplarroad

#endif
