#ifndef POPLARROAD_ENUMNAMES_H
#define POPLARROAD_ENUMNAMES_H

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace poplarroad
{

/**
 * Text names of an enumeration; specialised for each enumeration that is printed, logged or configured.
 *
 * A specialisation defines `static constexpr std::array table` of EnumName rows.
 */
template<typename Enum>
struct EnumNames;

/**
 * @param value an enumerator
 * @return its name, or "invalid" if the table has no such value
 */
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &[enumerator, name] : EnumNames<Enum>::table) {
        if (enumerator == value) {
            return name;
        }
    }
    return "invalid";
}

/**
 * @param name a name as written in settings, on a command line or in a message
 * @return the enumerator, or std::nullopt if the table has no such name
 */
template<typename Enum>
constexpr std::optional<Enum> enumFrom(std::string_view name)
{
    for (const auto &[enumerator, known] : EnumNames<Enum>::table) {
        if (known == name) {
            return enumerator;
        }
    }
    return std::nullopt;
}

/** One row of an EnumNames table: an enumerator and its name. */
template<typename Enum>
using EnumName = std::pair<Enum, std::string_view>;

} // namespace poplarroad

#endif
