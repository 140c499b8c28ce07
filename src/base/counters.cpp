#include "base/counters.h"

namespace poplarroad
{

void writeCounters(MetricsWriter &text, const std::vector<const CounterSet *> &sets)
{
    for (const auto &[counter, name] : EnumNames<Counter>::table) {
        std::uint64_t sum = 0;
        for (const CounterSet *set : sets) {
            sum += set->value(counter);
        }
        text.counter(name, sum);
    }
}

} // namespace poplarroad
