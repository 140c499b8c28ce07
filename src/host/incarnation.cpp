#include "incarnation.h"

#include <random>

namespace poplarroad
{

Incarnation drawIncarnation()
{
    std::random_device device;
    return Incarnation{ (static_cast<std::uint64_t>(device()) << 32U) | device() };
}

} // namespace poplarroad
