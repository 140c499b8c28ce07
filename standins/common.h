#ifndef POPLARROAD_STANDINS_COMMON_H
#define POPLARROAD_STANDINS_COMMON_H

#include "poplarroad/clock.h"
#include "poplarroad/enumnames.h"
#include "poplarroad/request.h"

#include <fstream>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace poplarroad::standins
{

/** Distribution of a random duration. */
enum class Distribution : std::uint8_t {
    Fixed,
    Exponential,
    Lognormal, ///< standard deviation of the logarithm: 0.5
};

} // namespace poplarroad::standins

template<>
struct poplarroad::EnumNames<poplarroad::standins::Distribution>
{
    using Distribution = standins::Distribution;
    static constexpr std::array table{
        EnumName<Distribution>{ Distribution::Fixed, "fixed" },
        EnumName<Distribution>{ Distribution::Exponential, "exponential" },
        EnumName<Distribution>{ Distribution::Lognormal, "lognormal" },
    };
};

namespace poplarroad::standins
{

/** @return a random duration with the given mean */
Microseconds randomDuration(Distribution distribution, Microseconds mean, std::mt19937_64 &random);

/** @return "target flow sequence position size ", padded to at least `size` bytes with text derived from the request */
std::string answerPayload(std::string_view target, const RequestId &id, std::uint64_t position, std::size_t size);
/** @return the target's name, or nothing if the payload is damaged or belongs to another request or position */
std::optional<std::string> parseAnswerPayload(std::string_view payload, const RequestId &id, std::uint64_t position);

/**
 * Appends a line "event flow sequence time detail" per event to a file, with the time of the steady clock in
 * microseconds. Writes nothing if the path is empty.
 */
class Ledger
{
public:
    explicit Ledger(const std::string &path);
    void write(std::string_view event, const RequestId &id, std::string_view detail);

private:
    std::ofstream file_;
};

/** @return the items of a comma-separated list */
std::vector<std::string> splitList(std::string_view text);

} // namespace poplarroad::standins

#endif
