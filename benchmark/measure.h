#ifndef POPLARROAD_BENCHMARK_MEASURE_H
#define POPLARROAD_BENCHMARK_MEASURE_H

#include <malloc.h>

#include <cstddef>
#include <ctime>

namespace poplarroad
{

/** @return processor time of the process in seconds */
inline double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** @return bytes in use on the heap, including large blocks that malloc maps separately and uordblks leaves out */
inline std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace poplarroad

#endif
