#include "base/counters.h"

namespace poplarroad
{

std::string prometheusText(const std::vector<const CounterSet *> &sets)
{
    std::string text;
    for (const auto &[counter, name] : EnumNames<Counter>::table) {
        std::uint64_t sum = 0;
        for (const CounterSet *set : sets) {
            sum += set->value(counter);
        }
        const std::string full = "poplarroad_" + std::string(name) + "_total";
        text.append("# TYPE ").append(full).append(" counter\n");
        text.append(full).append(" ").append(std::to_string(sum)).append("\n");
    }
    return text;
}

} // namespace poplarroad
