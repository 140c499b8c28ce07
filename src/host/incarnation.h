#ifndef POPLARROAD_HOST_INCARNATION_H
#define POPLARROAD_HOST_INCARNATION_H

#include "poplarroad/id.h"

namespace poplarroad
{

/** @return a random incarnation */
Incarnation drawIncarnation();

} // namespace poplarroad

#endif
