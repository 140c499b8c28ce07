#include "base/counters.h"

namespace poplarroad
{

void writeCounters(MetricsWriter &writer, const std::vector<const CounterSet *> &sets)
{
    for (const auto &[counter, name] : EnumNames<Counter>::table) {
        std::uint64_t sum = 0;
        for (const CounterSet *set : sets) {
            sum += set->value(counter);
        }
        writer.counter(name, sum);
    }
}

} // namespace poplarroad
