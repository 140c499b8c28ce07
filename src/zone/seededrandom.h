#ifndef POPLARROAD_ZONE_SEEDEDRANDOM_H
#define POPLARROAD_ZONE_SEEDEDRANDOM_H

#include "poplarroad/clock.h"

#include <vector>

namespace poplarroad
{

/** SplitMix64 generator: small, fast and reproducible from its seed; not cryptographically secure. */
class SeededRandom final : public Random
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : state_(seed)
    {
    }
    std::uint64_t next() override
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }
    template<typename Item>
    void shuffle(std::vector<Item> &items)
    {
        for (std::size_t i = items.size(); i > 1; --i) {
            std::swap(items[i - 1], items[nextBelow(i)]);
        }
    }

private:
    std::uint64_t state_;
};

} // namespace poplarroad

#endif
